import type {JobOutcome, PlacementMessageOf} from '../messages/placement-messages.js';
import type {BackendServerDescription} from '../servers/backend-server-description.js';
import type {SessionState} from '../sessions/backend-session.js';

/** What the placer knows of one backend server, for logs and status. */
export type PlacerServerStatus = {
	id: string;
	state: SessionState;
	runCount: number;
};

/** Places the tasks of all jobs of the daemons that follow it. One term of one daemon has one placer. */
export type Placer = {
	/**
	 * Sets the backend servers that this placer is to use. Those missing are given up.
	 * @param descriptions - The backend servers.
	 * @param hiddenCount - How many others there are, which this placer must not claim.
	 */
	setServers(descriptions: readonly BackendServerDescription[], hiddenCount: number): void;
	/** Takes a job; a job already known only gets the new sender. */
	submit(entryId: string, message: PlacementMessageOf<'placement.submit'>): void;
	/** Stops a job; its sender gets no result. */
	cancel(jobId: string): void;
	/** Gets the result of a job that has ended; `open` if it is in hand, undefined if it is not known. */
	findResult(jobId: string): JobOutcome | 'open' | undefined;
	/** Stops the jobs of a daemon that is no longer heard, since its callers are told to come back. Returns how many. */
	endJobsOfEntry(entryId: string): number;
	/** Gets the accepted jobs of a queue of which nothing has started. */
	getPendingCount(queueName: string): number;
	/** Gets how long a job of usual size would wait now. */
	getLoadMs(): number;
	getServerStatuses(): PlacerServerStatus[];
	/** Whether a backend server cannot be claimed again in this term. */
	hasExhaustedClaims(): boolean;
	/** Whether most backend servers have been claimed by another placer. */
	isSuperseded(): boolean;
	stop(): void;
};
