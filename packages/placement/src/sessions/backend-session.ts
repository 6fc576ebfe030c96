import type {BackendServerDescription} from '../servers/backend-server-description.js';
import type {
	Run, RunEnd, RunStart, TaskNeeds,
} from './run.js';

/**
 * - `claiming`: a renewal with a new token is under way; nothing is started.
 * - `held`: our token is the highest and every run is known.
 * - `silent`: several claims went unanswered.
 * - `fenced`: another placer has claimed the backend server.
 * - `closed`: the incarnation is gone.
 */
export type SessionState = 'claiming' | 'held' | 'silent' | 'fenced' | 'closed';

/** Who wants to know what happens on a backend server. */
export type SessionListener = {
	/** A run is over or never began; its room is free. */
	onRunEnd(session: BackendSession, run: Run, how: RunEnd): void;
	/** The claim was answered: every run there is known now. */
	onHeld(session: BackendSession): void;
	/** The backend server is no longer ours to use. */
	onStateChange(session: BackendSession): void;
};

/** The placer's view of one incarnation of a backend server: what runs there, and the lease that it runs under. */
export type BackendSession = {
	getDescription(): BackendServerDescription;
	setDescription(description: BackendServerDescription): void;
	getState(): SessionState;
	/** Whether the term has no token left for another claim. */
	hasUsedUpClaims(): boolean;
	getRuns(): ReadonlyMap<string, Run>;
	findRun(taskName: string): Run | undefined;
	/** Gets what is free; nothing while the needs of a run are not known. */
	getFreeRoom(): TaskNeeds;
	/** Starts a task. The listener is told when it ends or turns out not to have begun. */
	start(options: RunStart & {payload: string}): void;
	/** Stops a run, if it is there; the listener is told when it is over. */
	stop(taskName: string): void;
	/** Ends all calls. Runs are left to their lease. */
	close(): void;
};
