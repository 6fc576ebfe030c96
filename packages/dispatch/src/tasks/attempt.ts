import type {OpenTask} from '../jobs/open-job.js';
import type {BackendServerRecord} from '../servers/backend-server-record.js';

/** One execution of a task on a backend server. It occupies a slot until its end is known. */
export type Attempt = {
	readonly id: string;
	readonly task: OpenTask;
	readonly server: BackendServerRecord;
	readonly startedAtMs: number;
	/** Whether its answer is no longer needed. */
	isAbandoned: boolean;
	/** Whether it was started while another attempt of the task was running. */
	readonly isHedge: boolean;
};

/**
 * Whether this process issued an attempt id. If the attempt is no longer open, an answer with that id is a duplicate.
 * @param id - The attempt id.
 * @param incarnation - The incarnation of this process.
 * @param attemptCount - The number of attempt ids that this process has issued.
 */
export function isIssuedAttemptId(id: string, incarnation: string, attemptCount: number): boolean {
	const prefix = `${incarnation}.`;
	return id.startsWith(prefix) && Number(id.slice(prefix.length)) < attemptCount;
}
