/**
 * An append-only log of records with snapshots. Records are any values that CBOR can hold.
 * A failed sync is never retried: the log reports it to its opener once and takes nothing more.
 */
export type RecordLog = {
	/** Gets the snapshot that was found at opening, or undefined. It is let go once a new one is written. */
	getSnapshot(): unknown;
	/** Gets the records that were found at opening, written after the snapshot. They are let go with it. */
	getRecords(): readonly unknown[];
	/**
	 * Appends a record. Records appended while a sync runs share the next one (group commit).
	 * @param record - The record.
	 * @param onSynced - Called once the record is durable; never called if the sync fails.
	 */
	append(record: unknown, onSynced?: () => void): void;
	/**
	 * Replaces all records appended so far by a snapshot, atomically.
	 * @param state - The state that those records led to.
	 * @param onSynced - Called once the snapshot is durable.
	 */
	writeSnapshot(state: unknown, onSynced?: () => void): void;
	/**
	 * Replaces all records appended so far by a snapshot that is written in parts while appends go on, so that a large
	 * state does not hold up the process. A part may already show records that are appended later; they are found
	 * again after it at opening, so applying them twice must be harmless.
	 * `getSnapshot` then gives the array of the parts.
	 * @param parts - Gives the parts; each is encoded in a turn of its own.
	 * @param onSynced - Called once the snapshot is durable.
	 */
	writeSnapshotInParts(parts: Iterable<unknown>, onSynced?: () => void): void;
	/** Waits for pending syncs and closes the files. */
	close(): Promise<void>;
};
