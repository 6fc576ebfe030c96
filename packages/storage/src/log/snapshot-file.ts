import {join} from 'node:path';
import {StorageError} from '../errors/storage-error.js';
import type {DataFolder} from '../folder/data-folder.js';
import {encodeRecord} from '../utils/record-codec.js';
import {writeFileAtomically} from '../utils/write-file-atomically.js';
import {encodeFrame} from './frame.js';
import {encodeLogFileHeader} from './log-file.js';
import {getLogFileHeader, getLogFileNames, getLogFilePath} from './log-file-names.js';

/** The last record of a snapshot file, which shows that the file is complete. */
type SnapshotFooter = {
	partCount: number;
	/** Whether the state is the array of parts, or else the single part itself. */
	isInParts: boolean;
};

export type SnapshotFile = {
	lastSequence: number;
	parts: Iterable<Uint8Array>;
	isInParts: boolean;
	/** Waits until every record that the parts may include is durable. */
	waitForRecords: () => Promise<void>;
};

/**
 * Writes a snapshot file, then removes the files that it replaces.
 * @param dataFolder - The data folder.
 * @param name - The name of the log.
 * @param snapshot - The state, and the sequence number of the last record that it replaces.
 */
export async function writeSnapshotFile(dataFolder: DataFolder, name: string, snapshot: SnapshotFile): Promise<void> {
	const {lastSequence, waitForRecords} = snapshot;
	const path = getLogFilePath(dataFolder, name, 'snapshot', lastSequence);
	await writeFileAtomically(dataFolder.fileSystem, path, encodeSnapshot(dataFolder, name, snapshot), waitForRecords);
	for (const {kind, sequence, fileName} of await getLogFileNames(dataFolder, name)) {
		if (sequence < (kind === 'log' ? lastSequence + 1 : lastSequence)) {
			// eslint-disable-next-line no-await-in-loop -- Only a few files are removed, and a leftover file does no harm.
			await dataFolder.fileSystem.removeFile(join(dataFolder.path, fileName));
		}
	}
}

/**
 * Extracts the state from the records of a snapshot file.
 * @param path - The path of the file, for the error message.
 * @param records - Its records.
 * @throws StorageError if the file is truncated.
 */
export function getSnapshotState(path: string, records: readonly unknown[]): unknown {
	const end = records.at(-1);
	if (!isSnapshotFooter(end) || end.partCount !== records.length - 1) {
		throw new StorageError('storage-damaged', path, 'the snapshot is truncated; restore the data folder from a backup');
	}

	return end.isInParts ? records.slice(0, -1) : records[0];
}

function * encodeSnapshot(dataFolder: DataFolder, name: string, snapshot: SnapshotFile): Iterable<Uint8Array> {
	const {checksumSeed: seed} = dataFolder;
	const {lastSequence, parts, isInParts} = snapshot;
	yield encodeLogFileHeader(getLogFileHeader(dataFolder, name, 'snapshot'), lastSequence, seed);
	let partCount = 0;
	for (const part of parts) {
		yield encodeFrame(lastSequence + partCount, part, seed);
		partCount++;
	}

	yield encodeFrame(lastSequence + partCount, encodeRecord({partCount, isInParts} satisfies SnapshotFooter), seed);
}

function isSnapshotFooter(value: unknown): value is SnapshotFooter {
	return typeof value === 'object' && value !== null && 'partCount' in value && 'isInParts' in value;
}
