import {join} from 'node:path';
import type {EventLog} from '@camphortack/core';
import {StorageError} from '../errors/storage-error.js';
import type {DataFolder} from '../folder/data-folder.js';
import {temporarySuffix} from '../utils/write-file-atomically.js';
import {readLogFile, type LogFileContent} from './log-file.js';
import {
	getLogFileHeader, getLogFileNames, getLogFilePath, type LogFileName,
} from './log-file-names.js';
import {getSnapshotState} from './snapshot-file.js';

/** The content of a log as loaded from disk. */
export type LoadedLog = {
	snapshot: unknown;
	records: unknown[];
	nextSequence: number;
	/** The file to append to, or undefined if the log is new; `sizeBytes` is its size up to the last complete frame. */
	path: string | undefined;
	sizeBytes: number;
	/** The number of bytes to truncate after the last complete frame. */
	tornBytes: number;
};

/**
 * Loads a log and checks that none of its files is missing.
 * @param dataFolder - The data folder.
 * @param name - The name of the log.
 * @param events - The event log, to which an incomplete last frame is reported.
 * @throws StorageError if a file is damaged or missing.
 */
export async function loadLog(dataFolder: DataFolder, name: string, events: EventLog): Promise<LoadedLog> {
	await removeUnfinishedFiles(dataFolder, name);
	const files = await getLogFileNames(dataFolder, name);
	const latestSnapshot = files.findLast(file => file.kind === 'snapshot');
	const firstSequence = latestSnapshot === undefined ? 1 : latestSnapshot.sequence + 1;
	const logFiles = files.filter(file => file.kind === 'log' && file.sequence >= firstSequence);
	assertNoFileMissing({
		dataFolder, name, firstSequence, logFiles, latestSnapshot,
	});
	const loaded: LoadedLog = {
		snapshot: latestSnapshot === undefined ? undefined : await readSnapshot(dataFolder, name, latestSnapshot),
		records: [],
		nextSequence: firstSequence,
		path: undefined,
		sizeBytes: 0,
		tornBytes: 0,
	};
	for (const file of logFiles) {
		// eslint-disable-next-line no-await-in-loop -- Each file continues where the previous one ended.
		await readOneLogFile({
			dataFolder, name, events, loaded, file, isLast: file === logFiles.at(-1),
		});
	}

	return loaded;
}

async function removeUnfinishedFiles(dataFolder: DataFolder, name: string): Promise<void> {
	for (const fileName of await dataFolder.fileSystem.getFileNames(dataFolder.path)) {
		if (fileName.startsWith(`${name}-`) && fileName.endsWith(temporarySuffix)) {
			// eslint-disable-next-line no-await-in-loop -- There are at most a few of them.
			await dataFolder.fileSystem.removeFile(join(dataFolder.path, fileName));
		}
	}
}

type MissingFileCheck = {
	dataFolder: DataFolder;
	name: string;
	firstSequence: number;
	logFiles: readonly LogFileName[];
	latestSnapshot: LogFileName | undefined;
};

function assertNoFileMissing(options: MissingFileCheck): void {
	const {
		dataFolder, name, firstSequence, logFiles, latestSnapshot,
	} = options;
	const isKnown = latestSnapshot !== undefined || dataFolder.hasLog(name);
	const [first] = logFiles;
	if (first === undefined ? !isKnown : first.sequence === firstSequence) {
		return;
	}

	const isSnapshotMissing = first !== undefined && latestSnapshot === undefined;
	const path = isSnapshotMissing
		? getLogFilePath(dataFolder, name, 'snapshot', first.sequence - 1)
		: getLogFilePath(dataFolder, name, 'log', firstSequence);
	throw createMissingFileError(path);
}

async function readSnapshot(dataFolder: DataFolder, name: string, file: LogFileName): Promise<unknown> {
	const {records} = await readContent(dataFolder, name, file, false);
	return getSnapshotState(join(dataFolder.path, file.fileName), records);
}

type ReadOneLogFileOptions = {
	dataFolder: DataFolder;
	name: string;
	events: EventLog;
	loaded: LoadedLog;
	file: LogFileName;
	isLast: boolean;
};

async function readOneLogFile(options: ReadOneLogFileOptions): Promise<void> {
	const {
		dataFolder, name, events, loaded, file, isLast,
	} = options;
	const path = join(dataFolder.path, file.fileName);
	if (file.sequence !== loaded.nextSequence) {
		throw createMissingFileError(getLogFilePath(dataFolder, name, 'log', loaded.nextSequence));
	}

	const content = await readContent(dataFolder, name, file, isLast);
	for (const record of content.records) {
		loaded.records.push(record);
	}

	loaded.nextSequence = content.nextSequence;
	loaded.path = path;
	loaded.sizeBytes = content.validBytes;
	loaded.tornBytes = content.sizeBytes - content.validBytes;
	if (loaded.tornBytes > 0) {
		events.write('storage-tail-truncated', {path, offsetBytes: content.validBytes, cutBytes: loaded.tornBytes});
	}
}

async function readContent(dataFolder: DataFolder, name: string, file: LogFileName, mayHaveTornTail: boolean): Promise<LogFileContent & {sizeBytes: number}> {
	const path = join(dataFolder.path, file.fileName);
	const bytes = await dataFolder.fileSystem.readFileIfExists(path);
	if (bytes === undefined) {
		throw createMissingFileError(path);
	}

	const content = readLogFile({
		path,
		bytes,
		header: getLogFileHeader(dataFolder, name, file.kind),
		firstSequence: file.sequence,
		seed: dataFolder.checksumSeed,
		mayHaveTornTail,
	});
	return {...content, sizeBytes: bytes.length};
}

function createMissingFileError(path: string): StorageError {
	return new StorageError('storage-file-missing', path, 'the file is missing; restore the data folder from a backup, or move it away and start this keeper as a new, empty one');
}
