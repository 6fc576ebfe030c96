import type {BackendServerAnnouncement, TaskAnswer, TaskStartBatch} from '@camphortack/core';

/** What became of an attempt, as the client of the backend servers reports it. */
export type TaskEvent
	= | {kind: 'answer'; backendServerId: string; answer: TaskAnswer}
	/** Nothing was sent: the attempts certainly did not start. */
		| {kind: 'connect-refused'; backendServerId: string; attempts: readonly string[]}
	/** Something was sent, and the end is not known. */
		| {kind: 'connection-lost'; backendServerId: string; attempts: readonly string[]};

/** Sends tasks to backend servers. Each attempt ends in exactly one event. Never retries by itself. */
export abstract class TaskStarter {
	/**
	 * Starts a batch of tasks.
	 * @param server - The backend server.
	 * @param batch - The tasks, each for one slot.
	 */
	abstract start(server: BackendServerAnnouncement, batch: TaskStartBatch): void;

	/**
	 * Tells a backend server to stop running tasks. The attempts' events still come.
	 * @param server - The backend server.
	 * @param attempts - The attempts to stop.
	 */
	abstract stop(server: BackendServerAnnouncement, attempts: readonly string[]): void;
}
