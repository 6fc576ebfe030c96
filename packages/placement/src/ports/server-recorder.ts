import type {BackendServerDescription} from '../servers/backend-server-description.js';

/** The process of an entry daemon that waits for the result of a job. */
export type EntryProcess = {
	entryId: string;
	/** Differs after each start of the daemon; undefined in versions that record no backend servers. */
	incarnation: string | undefined;
};

/**
 * Lets the entry daemons of jobs record the backend servers on which their tasks may start. An entry daemon hands its record over
 * with its jobs, so that the next placer knows where to look for their runs, whatever became of this one.
 */
export type ServerRecorder = {
	/** Sets the backend servers in use, and sends those that are new to the entry daemons. */
	setServers(descriptions: Iterable<BackendServerDescription>): void;
	/** Gets the ids of the backend servers that one of the entry daemons has not recorded yet. */
	getUnrecordedIds(entries: Iterable<EntryProcess>): ReadonlySet<string>;
};
