import type {TimerService} from '@camphortack/core';
import {decodeRecords, encodeRecord} from '../utils/record-codec.js';
import type {RecordLog} from './record-log.js';

/** The durable content of a simulated disk. */
export type MemoryDisk = {
	snapshot: Uint8Array | undefined;
	records: Uint8Array[];
};

export type MemoryRecordLogOptions = {
	timers: TimerService;
	/** The disk, which survives a crash of the log that uses it. */
	disk: MemoryDisk;
	/** The duration of a sync, in milliseconds. */
	syncDurationMs?: number;
};

/** A log for tests that can simulate crashes. */
export type MemoryRecordLog = RecordLog & {
	/** Discards all writes that are not synced. Afterwards, open another log on the same disk, or on an empty one if the disk is lost. */
	crash(): void;
	/** Makes all further syncs fail. */
	failSyncs(): void;
	/** Gets the number of completed syncs. */
	getSyncCount(): number;
};

/** Creates an empty simulated disk. */
export function createMemoryDisk(): MemoryDisk {
	return {snapshot: undefined, records: []};
}

/**
 * Creates a log in memory whose group commits are scheduled by a timer service.
 * @param options - The timers and the disk.
 */
export function createMemoryRecordLog(options: MemoryRecordLogOptions): MemoryRecordLog {
	const {timers, disk, syncDurationMs = 2} = options;
	const snapshot = disk.snapshot === undefined ? undefined : decodeRecords(disk.snapshot)[0];
	const records = disk.records.flatMap(bytes => decodeRecords(bytes));
	let queue: Array<{getBytes: () => Uint8Array; isSnapshot: boolean; onSynced: (() => void) | undefined}> = [];
	let isSyncing = false;
	let isStopped = false;
	let isFailing = false;
	let syncCount = 0;

	function enqueue(getBytes: () => Uint8Array, isSnapshot: boolean, onSynced: (() => void) | undefined): void {
		if (isStopped) {
			return;
		}

		queue.push({getBytes, isSnapshot, onSynced});
		startSync();
	}

	function startSync(): void {
		if (isSyncing || queue.length === 0) {
			return;
		}

		isSyncing = true;
		const delayMs = 0;
		timers.addTimer(delayMs, () => {
			const batch = queue;
			queue = [];
			timers.addTimer(syncDurationMs, () => {
				endSync(batch);
			});
		});
	}

	function endSync(batch: typeof queue): void {
		isSyncing = false;
		if (isStopped || isFailing) {
			isStopped = true;
			return;
		}

		syncCount++;
		for (const {getBytes, isSnapshot} of batch) {
			if (isSnapshot) {
				disk.snapshot = getBytes();
				disk.records = [];
			} else {
				disk.records.push(getBytes());
			}
		}

		for (const {onSynced} of batch) {
			onSynced?.();
		}

		startSync();
	}

	return {
		getSnapshot: () => snapshot,
		getRecords: () => records,
		append(record, onSynced) {
			const bytes = encodeRecord(record);
			enqueue(() => bytes, false, onSynced);
		},
		writeSnapshot(state, onSynced) {
			const bytes = encodeRecord(state);
			enqueue(() => bytes, true, onSynced);
		},
		writeSnapshotInParts(parts, onSynced) {
			// The parts are read at the end of the sync, so that they include records that are appended meanwhile.
			enqueue(() => encodeRecord([...parts]), true, onSynced);
		},
		async close() {
			isStopped = true;
		},
		crash() {
			isStopped = true;
			queue = [];
		},
		failSyncs() {
			isFailing = true;
		},
		getSyncCount: () => syncCount,
	};
}
