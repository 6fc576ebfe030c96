import type {OpenTask} from '../jobs/open-job.js';
import type {BackendServerRecord} from '../servers/backend-server-record.js';

/** One start of a task on a backend server. It occupies a slot until its end is known. */
export type Attempt = {
	readonly id: string;
	readonly task: OpenTask;
	readonly server: BackendServerRecord;
	readonly startedAtMs: number;
	/** Whether its answer is no longer wanted. */
	isAbandoned: boolean;
	/** Whether it was started beside a slow one. */
	readonly isHedge: boolean;
};

/**
 * Whether an attempt's identifier was given out by this process, so that an answer to it is one too many.
 * @param id - The identifier.
 * @param incarnation - This process.
 * @param attemptCount - How many identifiers it has given out.
 */
export function isIssuedAttemptId(id: string, incarnation: string, attemptCount: number): boolean {
	const prefix = `${incarnation}.`;
	return id.startsWith(prefix) && Number(id.slice(prefix.length)) < attemptCount;
}
