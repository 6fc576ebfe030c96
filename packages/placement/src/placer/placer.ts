import type {EntryList} from '../jobs/entry-list.js';
import type {JobOutcome} from '../messages/job-outcome.js';
import type {PlacementMessageOf} from '../messages/placement-messages.js';
import type {EntryProcess} from '../ports/server-recorder.js';
import type {BackendServerDescription} from '../servers/backend-server-description.js';
import type {SessionState} from '../sessions/backend-session.js';

/** The state of one backend server as known to the placer, for logs and status. */
export type PlacerServerStatus = {
	id: string;
	state: SessionState;
	runCount: number;
};

/** Places the tasks of the jobs of all daemons that follow it. A daemon has one placer per term. */
export type Placer = {
	/**
	 * Sets the backend servers that this placer uses. It releases all others.
	 * @param descriptions - The backend servers.
	 * @param unclaimableCount - Number of other backend servers, which this placer must not claim.
	 */
	setServers(descriptions: readonly BackendServerDescription[], unclaimableCount: number): void;
	/**
	 * Sets the availability zones in which nothing is started any more. Jobs that cannot start elsewhere are refused.
	 * @param availabilityZones - The evacuated availability zones.
	 */
	setEvacuatedZones(availabilityZones: readonly string[]): void;
	/** Accepts a job. A submission of a job that is already open joins it. */
	submit(entryId: string, message: PlacementMessageOf<'placement.submit'>): void;
	/** Lets the jobs go that wait because an earlier placer may run them, and need not wait any longer. */
	checkHeldJobs(): void;
	/** Cancels a job for all who wait for it, and stops its runs. */
	cancel(jobId: string): void;
	/**
	 * Ends a job with an unknown result, and stops its runs. A daemon of an earlier version has cancelled it, which does not tell whether
	 * a caller has cancelled the job, or all callers of that daemon have left.
	 */
	abort(jobId: string): void;
	/** Handles that the callers of a submission have left. A job that no other submission waits for is cancelled. */
	withdraw(jobId: string, submissionId: string): void;
	/** Withdraws the submissions that a list of the open jobs of an entry daemon should name and does not. Returns the number of jobs that end. */
	withdrawUnlisted(list: EntryList): number;
	/**
	 * Handles that the process of an entry daemon, which is being stopped, answers its callers for a limited time only. Jobs that
	 * certainly do not start within it are refused.
	 */
	setEntryRemainingMs(entry: EntryProcess, remainingMs: number): void;
	/** Gets the result of an ended job; `open` if the job has not ended, undefined if it is not known. */
	findResult(jobId: string): JobOutcome | 'open' | undefined;
	/**
	 * Ends the jobs that only a daemon that has timed out waits for, because its callers are told to submit again; if an incarnation is
	 * given, those of the daemon's earlier processes. Returns the number of jobs.
	 */
	endJobsOfEntry(entryId: string, currentIncarnation?: string): number;
	/** Gets the number of accepted jobs of a queue of which no task has started. */
	getPendingCount(queueName: string): number;
	/** Gets the ids of the jobs of which this placer has started no task, by entry daemon. */
	getUnstartedJobIds(): Map<string, string[]>;
	/** Gets the estimated wait of a job of typical size that arrives now. */
	getLoadMs(): number;
	getServerStatuses(): PlacerServerStatus[];
	/** Whether the claims of this term are exhausted for a backend server. */
	hasExhaustedClaims(): boolean;
	/** Whether another placer has claimed most of the backend servers. */
	isSuperseded(): boolean;
	stop(): void;
};
