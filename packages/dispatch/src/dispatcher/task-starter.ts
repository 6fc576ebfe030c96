import type {BackendServerAnnouncement, TaskAnswer, TaskStartBatch} from '@camphortack/core';

/** The end of one or more attempts, as reported by the backend server client. */
export type TaskEvent
	= | {kind: 'answer'; backendServerId: string; answer: TaskAnswer}
	/** Nothing was sent, so the attempts certainly did not start. */
		| {kind: 'connect-refused'; backendServerId: string; attempts: readonly string[]}
	/** A request was sent, but the outcome of the attempts is unknown. */
		| {kind: 'connection-lost'; backendServerId: string; attempts: readonly string[]};

/** Sends tasks to backend servers. Each attempt ends with exactly one event. Does not retry. */
export abstract class TaskStarter {
	/**
	 * Starts a batch of tasks.
	 * @param server - The backend server.
	 * @param batch - The tasks, each of which occupies one slot.
	 */
	abstract start(server: BackendServerAnnouncement, batch: TaskStartBatch): void;

	/**
	 * Sends a backend server a request to stop some of its attempts. Each of them still ends with an event.
	 * @param server - The backend server.
	 * @param attempts - The attempts to stop.
	 */
	abstract stop(server: BackendServerAnnouncement, attempts: readonly string[]): void;
}
