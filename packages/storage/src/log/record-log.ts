/**
 * An append-only log of records with snapshots. A record is any value that CBOR can encode.
 * A failed sync is never retried: the log reports it once through `onFailure` and then ignores further writes.
 */
export type RecordLog = {
	/** Gets the snapshot that was found on opening, or undefined. It is released once a new one is written. */
	getSnapshot(): unknown;
	/** Gets the records found on opening that follow the snapshot. They are released together with it. */
	getRecords(): readonly unknown[];
	/**
	 * Appends a record. Records appended during a sync share the next one (group commit).
	 * @param record - The record.
	 * @param onSynced - Called once the record is durable; never called if the sync fails.
	 */
	append(record: unknown, onSynced?: () => void): void;
	/**
	 * Atomically replaces all records appended so far with a snapshot.
	 * @param state - The state that results from those records.
	 * @param onSynced - Called once the snapshot is durable.
	 */
	writeSnapshot(state: unknown, onSynced?: () => void): void;
	/**
	 * Replaces all records appended so far with a snapshot that is written in parts while appends continue, so that a
	 * large state does not block the process. A part may already include records that are appended later. On opening,
	 * these records are read again after the snapshot, so applying a record twice must be harmless.
	 * `getSnapshot` then returns the array of parts.
	 * @param parts - The parts, each of which is encoded in a separate turn of the event loop.
	 * @param onSynced - Called once the snapshot is durable.
	 */
	writeSnapshotInParts(parts: Iterable<unknown>, onSynced?: () => void): void;
	/** Waits for pending syncs and closes the files. */
	close(): Promise<void>;
};
