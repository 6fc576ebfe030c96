import type {BackendServerDescription} from '../servers/backend-server-description.js';
import type {
	Run, RunEnd, RunStart, TaskNeeds,
} from './run.js';

/**
 * - `claiming`: a renewal with a new token is in progress; no tasks are started.
 * - `held`: the placer has the highest token, and every run is known.
 * - `silent`: several consecutive claims went unanswered, or the claims of the term are exhausted.
 * - `fenced`: another placer has claimed the backend server.
 * - `closed`: the incarnation no longer exists.
 */
export type SessionState = 'claiming' | 'held' | 'silent' | 'fenced' | 'closed';

/** Callbacks for the changes of a session. */
export type SessionListener = {
	/** A run was started or found. */
	onRunAdded(session: BackendSession, run: Run): void;
	/** A run has ended or was never started; its capacity is free. */
	onRunEnd(session: BackendSession, run: Run, end: RunEnd): void;
	/** A claim was accepted; every run on the backend server is known. */
	onHeld(session: BackendSession): void;
	/** The backend server refuses connections; its runs have probably ended with its process. */
	onCrashSuspected(session: BackendSession): void;
	/** The backend server has responded to a claim, or another incarnation has: only then has it crashed. */
	onCrashResolved(session: BackendSession, hasCrashed: boolean): void;
	/** The session state has changed. */
	onStateChange(session: BackendSession): void;
};

/** The placer's view of one incarnation of a backend server: its runs and the lease they hold. */
export type BackendSession = {
	getDescription(): BackendServerDescription;
	setDescription(description: BackendServerDescription): void;
	/** Gets the time until which the backend server runs tasks slowly, since it has just been put back into use. */
	getColdUntilMs(): number;
	/** Finds the earliest time at which the backend server is taken away; undefined if there is no notice of that. */
	findGoneAtMs(): number | undefined;
	getState(): SessionState;
	/** Whether the backend server has neither answered the first claim nor left several unanswered. */
	isFirstClaimPending(): boolean;
	/** Whether a claim of this session was accepted, or nothing can run there, so that it knows every run of earlier placers. */
	areEarlierRunsKnown(): boolean;
	/**
	 * Asks the backend server whether this incarnation still runs, since a description of another one has arrived. That alone shows
	 * nothing: its writer may be another than the backend server.
	 */
	verify(): void;
	/** Whether tasks may still run on this incarnation, as far as is known without the descriptions of others. */
	mayStillRun(): boolean;
	/** Whether the term has no fencing token left for another claim. */
	hasExhaustedClaims(): boolean;
	/** Gets the number that the next claim would have. */
	getNextClaim(): number;
	getRuns(): ReadonlyMap<string, Run>;
	findRun(taskName: string): Run | undefined;
	/** Makes the run of an earlier placer one of a job of this placer. */
	adoptRun(run: Run, needs: TaskNeeds): void;
	/** Gets the free capacity; none while the needs of a run are not known. */
	getFreeCapacity(): TaskNeeds;
	/** Starts a task. The listener is notified when the run ends or is found not to have started. */
	start(options: RunStart & {payload: string}): void;
	/** Stops the run of a task, if there is one. The listener is notified when it has ended. */
	stop(taskName: string): void;
	/** Sends the next claim of a silent backend server now, or soon after the one that is under way. */
	hurryClaim(): void;
	/** Expects the backend server, which has deregistered, to end: from now on, its runs are over when it does not respond. */
	expectEnd(): void;
	/** Closes the session. Its runs end when their lease expires. */
	close(): void;
};
