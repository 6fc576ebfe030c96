import {Buffer} from 'node:buffer';
import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import type {DataFolder} from '../folder/data-folder.js';
import type {AppendFile} from '../ports/file-system.js';
import {encodeRecord} from '../utils/record-codec.js';
import {writeAll} from '../utils/write-all.js';
import {writeFileAtomically} from '../utils/write-file-atomically.js';
import {encodeFrame} from './frame.js';
import {encodeLogFileHeader} from './log-file.js';
import {getLogFileHeader, getLogFileNames, getLogFilePath} from './log-file-names.js';
import {loadLog} from './load-log.js';
import type {RecordLog} from './record-log.js';
import {toStorageError} from './to-storage-error.js';
import {writeSnapshotFile} from './snapshot-file.js';

export type RecordLogOptions = {
	dataFolder: DataFolder;
	/** The name of the log, unique in its data folder. */
	name: string;
	events: EventLog;
	metrics: MetricSink;
	timers: TimerService;
	/** Called once, when a write or sync fails. The daemon must then stop, because the log ignores all further writes. */
	onFailure: (error: Error) => void;
};

type PendingWrite
	= {kind: 'record'; bytes: Uint8Array; onSynced: (() => void) | undefined}
		| {kind: 'snapshot'; parts: Iterable<Uint8Array>; isInParts: boolean; onSynced: (() => void) | undefined};

type PendingRecord = Extract<PendingWrite, {kind: 'record'}>;
type PendingSnapshot = Extract<PendingWrite, {kind: 'snapshot'}>;

/**
 * Opens or creates a log in a data folder. An incomplete last frame is truncated and reported.
 * @param options - The data folder, the name of the log and the receivers of its reports.
 * @throws StorageError if a file of the log is damaged or missing, belongs to another log, or has an unknown format version.
 *
 * @example
 * ```ts
 * const log = await openRecordLog({dataFolder, name: 'register', events, metrics, timers, onFailure});
 * log.append({id: 'job-1'}, () => {
 * 	reply('start');
 * });
 * ```
 */
export async function openRecordLog(options: RecordLogOptions): Promise<RecordLog> {
	const {
		dataFolder, name, events, metrics, timers, onFailure,
	} = options;
	const {fileSystem, checksumSeed: seed} = dataFolder;
	const loaded = await loadLog(dataFolder, name, events);
	const path = loaded.path ?? await createLogFile(dataFolder, name, loaded.nextSequence);
	if (!dataFolder.hasLog(name)) {
		await dataFolder.registerLog(name);
	}

	let file = await openAtEnd(dataFolder, path, loaded.path === undefined ? undefined : loaded.sizeBytes, loaded.tornBytes);
	let {nextSequence} = loaded;
	let queue: PendingWrite[] = [];
	let processing: Promise<void> | undefined;
	let runningSnapshot: Promise<void> | undefined;
	let hasFailed = false;
	let isClosed = false;
	let appendedCount = 0;
	let syncedCount = 0;
	let waiters: Array<{count: number; onSynced: () => void; onFailed: (error: Error) => void}> = [];

	function enqueue(pending: PendingWrite): void {
		if (hasFailed || isClosed) {
			return;
		}

		appendedCount += pending.kind === 'record' ? 1 : 0;
		queue.push(pending);
		processing ??= processQueue();
	}

	async function processQueue(): Promise<void> {
		// Lets all records that are appended in the same turn share the first sync.
		await Promise.resolve();
		try {
			while (queue.length > 0) {
				const batch = queue;
				queue = [];
				// eslint-disable-next-line no-await-in-loop -- Group commit: writes that are queued meanwhile form the next batch.
				await writeBatch(batch);
			}
		} catch (error) {
			handleFailure(error);
		}

		processing = undefined;
	}

	function handleFailure(error: unknown): void {
		if (hasFailed) {
			return;
		}

		hasFailed = true;
		queue = [];
		const failure = toStorageError(error, dataFolder.path);
		events.write('storage-sync-failed', {name, message: failure.message});
		for (const {onFailed} of waiters) {
			onFailed(failure);
		}

		onFailure(failure);
	}

	async function writeBatch(batch: readonly PendingWrite[]): Promise<void> {
		let records: PendingRecord[] = [];
		for (const pending of batch) {
			if (pending.kind === 'record') {
				records.push(pending);
				continue;
			}

			// eslint-disable-next-line no-await-in-loop -- Appends and snapshots must be written in order.
			await writeRecords(records);
			records = [];
			// eslint-disable-next-line no-await-in-loop -- Appends and snapshots must be written in order.
			await startSnapshot(pending);
		}

		await writeRecords(records);
	}

	async function writeRecords(records: readonly PendingRecord[]): Promise<void> {
		if (records.length === 0 || hasFailed) {
			return;
		}

		const startedAtMs = timers.getNowMs();
		const payload = Buffer.concat(records.map(record => record.bytes));
		await writeAll(file, encodeFrame(nextSequence, payload, seed));
		await file.sync();
		nextSequence += records.length;
		metrics.increment('storage-synced');
		metrics.addTiming('storage-sync-time', timers.getNowMs() - startedAtMs);
		for (const record of records) {
			record.onSynced?.();
		}

		syncedCount += records.length;
		notifyWaiters();
	}

	/** Starts a new log file for later records, and writes the snapshot concurrently. */
	async function startSnapshot(pending: PendingSnapshot): Promise<void> {
		const lastSequence = nextSequence - 1;
		const nextPath = await createLogFile(dataFolder, name, nextSequence);
		await file.close();
		file = await fileSystem.openAppendFile(nextPath);
		const previousSnapshot = runningSnapshot;
		runningSnapshot = (async () => {
			await previousSnapshot;
			await writeSnapshot(pending, lastSequence);
		})();
	}

	async function writeSnapshot(pending: PendingSnapshot, lastSequence: number): Promise<void> {
		if (hasFailed) {
			return;
		}

		try {
			await writeSnapshotFile(dataFolder, name, {...pending, lastSequence, waitForRecords});
			loaded.snapshot = undefined;
			loaded.records = [];
			pending.onSynced?.();
		} catch (error) {
			handleFailure(error);
		}
	}

	/** Waits until every record appended so far is durable. */
	async function waitForRecords(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			waiters.push({count: appendedCount, onSynced: resolve, onFailed: reject});
			notifyWaiters();
		});
	}

	function notifyWaiters(): void {
		const isReady = ({count}: {count: number}) => count <= syncedCount;
		for (const {onSynced} of waiters.filter(waiter => isReady(waiter))) {
			onSynced();
		}

		waiters = waiters.filter(waiter => !isReady(waiter));
	}

	/** Encodes a record. If that fails, the state in memory is ahead of the log, so the daemon must stop as after a failed write. */
	function tryEncode(record: unknown): Uint8Array | undefined {
		try {
			return encodeRecord(record);
		} catch (error) {
			handleFailure(error);
			return undefined;
		}
	}

	return {
		getSnapshot: () => loaded.snapshot,
		getRecords: () => loaded.records,
		append(record, onSynced) {
			const bytes = tryEncode(record);
			if (bytes !== undefined) {
				enqueue({kind: 'record', bytes, onSynced});
			}
		},
		writeSnapshot(state, onSynced) {
			const bytes = tryEncode(state);
			if (bytes !== undefined) {
				enqueue({
					kind: 'snapshot',
					parts: [bytes],
					isInParts: false,
					onSynced,
				});
			}
		},
		writeSnapshotInParts(parts, onSynced) {
			enqueue({
				kind: 'snapshot',
				parts: encodeEach(parts),
				isInParts: true,
				onSynced,
			});
		},
		async close() {
			isClosed = true;
			await processing;
			await runningSnapshot;
			await file.close();
		},
	};
}

function * encodeEach(parts: Iterable<unknown>): Iterable<Uint8Array> {
	for (const part of parts) {
		yield encodeRecord(part);
	}
}

async function createLogFile(dataFolder: DataFolder, name: string, firstSequence: number): Promise<string> {
	const path = getLogFilePath(dataFolder, name, 'log', firstSequence);
	const start = encodeLogFileHeader(getLogFileHeader(dataFolder, name, 'log'), firstSequence, dataFolder.checksumSeed);
	await writeFileAtomically(dataFolder.fileSystem, path, [start]);
	return path;
}

async function openAtEnd(dataFolder: DataFolder, path: string, sizeBytes: number | undefined, tornBytes: number): Promise<AppendFile> {
	const file = await dataFolder.fileSystem.openAppendFile(path);
	if (sizeBytes !== undefined && tornBytes > 0) {
		await file.truncate(sizeBytes);
		await file.sync();
	}

	return file;
}
