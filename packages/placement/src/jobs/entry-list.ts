/** All jobs of a shard that a process of an entry daemon waits for, as of a moment. */
export type EntryList = {
	entryId: string;
	incarnation: string;
	/** Increases with each submission and each list of the process. */
	sequence: number;
	jobIds: ReadonlySet<string>;
};
