import {Buffer} from 'node:buffer';
import {join} from 'node:path';
import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import type {DataFolder} from '../folder/data-folder.js';
import type {AppendFile} from '../ports/file-system.js';
import {encodeRecord} from '../utils/record-codec.js';
import {writeAll} from '../utils/write-all.js';
import {writeFileAtomically} from '../utils/write-file-atomically.js';
import {encodeFrame} from './frame.js';
import {encodeLogFileStart, type LogFileHeader} from './log-file.js';
import {
	getLogFileNames, getLogFilePath, loadLog, type LogFileKind,
} from './log-files.js';
import type {RecordLog} from './record-log.js';
import {createStorageFailure} from './storage-failure.js';

export type RecordLogOptions = {
	dataFolder: DataFolder;
	/** Tells the logs of one data folder apart. */
	name: string;
	events: EventLog;
	metrics: MetricSink;
	timers: TimerService;
	/** Called once, when a write or sync failed. The daemon has to stop: nothing more is accepted. */
	onFailure: (error: Error) => void;
};

type Pending = {
	bytes: Uint8Array;
	isSnapshot: boolean;
	onSynced: (() => void) | undefined;
};

/**
 * Opens a log of a data folder, or creates it. A tail that was not written whole is cut off and reported.
 * @param options - The data folder, the name and where to report.
 * @throws StorageError if a file of the log is damaged, missing, foreign or of an unknown version.
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
		await dataFolder.addLog(name);
	}

	let file = await openAtEnd(dataFolder, path, loaded.path === undefined ? undefined : loaded.sizeBytes, loaded.tornBytes);
	let {nextSequence} = loaded;
	let queue: Pending[] = [];
	let running: Promise<void> | undefined;
	let isFailed = false;
	let isClosed = false;

	function add(pending: Pending): void {
		if (isFailed || isClosed) {
			return;
		}

		queue.push(pending);
		running ??= run();
	}

	async function run(): Promise<void> {
		// Records appended in the same turn share the first sync as well.
		await Promise.resolve();
		try {
			while (queue.length > 0) {
				const batch = queue;
				queue = [];
				// eslint-disable-next-line no-await-in-loop -- Group commit: what is appended meanwhile is the next batch.
				await writeBatch(batch);
			}
		} catch (error) {
			isFailed = true;
			queue = [];
			const failure = createStorageFailure(error, dataFolder.path);
			events.write('storage-sync-failed', {name, message: failure.message});
			onFailure(failure);
		}

		running = undefined;
	}

	async function writeBatch(batch: readonly Pending[]): Promise<void> {
		let records: Pending[] = [];
		for (const pending of batch) {
			if (pending.isSnapshot) {
				// eslint-disable-next-line no-await-in-loop -- The order of appends and snapshots is kept.
				await writeRecords(records);
				// eslint-disable-next-line no-await-in-loop -- The order of appends and snapshots is kept.
				await replaceBySnapshot(pending.bytes);
				pending.onSynced?.();
				records = [];
			} else {
				records.push(pending);
			}
		}

		await writeRecords(records);
	}

	async function writeRecords(records: readonly Pending[]): Promise<void> {
		if (records.length === 0) {
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
	}

	async function replaceBySnapshot(state: Uint8Array): Promise<void> {
		const lastSequence = nextSequence - 1;
		const oldFiles = await getLogFileNames(dataFolder, name);
		const nextPath = await createLogFile(dataFolder, name, nextSequence);
		const start = encodeLogFileStart(getHeader(dataFolder, name, 'snapshot'), lastSequence, seed);
		const content = Buffer.concat([start, encodeFrame(lastSequence, state, seed)]);
		await writeFileAtomically(fileSystem, getLogFilePath(dataFolder, name, 'snapshot', lastSequence), content);
		await file.close();
		file = await fileSystem.openAppendFile(nextPath);
		for (const old of oldFiles.filter(({kind, sequence}) => sequence < (kind === 'log' ? nextSequence : lastSequence))) {
			// eslint-disable-next-line no-await-in-loop -- Removals are few; a log is not hurt by one that is left over.
			await fileSystem.removeFile(join(dataFolder.path, old.fileName));
		}
	}

	return {
		getSnapshot: () => loaded.snapshot,
		getRecords: () => loaded.records,
		append(record, onSynced) {
			add({bytes: encodeRecord(record), isSnapshot: false, onSynced});
		},
		writeSnapshot(state, onSynced) {
			add({bytes: encodeRecord(state), isSnapshot: true, onSynced});
		},
		async close() {
			isClosed = true;
			await running;
			await file.close();
		},
	};
}

async function createLogFile(dataFolder: DataFolder, name: string, firstSequence: number): Promise<string> {
	const path = getLogFilePath(dataFolder, name, 'log', firstSequence);
	const start = encodeLogFileStart(getHeader(dataFolder, name, 'log'), firstSequence, dataFolder.checksumSeed);
	await writeFileAtomically(dataFolder.fileSystem, path, start);
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

function getHeader(dataFolder: DataFolder, name: string, kind: LogFileKind): LogFileHeader {
	return {kind, folderIdentity: dataFolder.identity, name};
}
