import {join} from 'node:path';
import type {DataFolder} from '../folder/data-folder.js';
import type {LogFileHeader} from './log-file.js';

const sequenceDigits = 16;

/** The kinds of files that make up a log. */
export type LogFileKind = 'log' | 'snapshot';

/** One file of a log. */
export type LogFileName = {
	fileName: string;
	kind: LogFileKind;
	/** The first sequence number in a log file, or the last one that a snapshot covers. */
	sequence: number;
};

/**
 * Gets the path of a log or snapshot file.
 * @param dataFolder - The data folder.
 * @param name - The name of the log.
 * @param kind - The kind of file.
 * @param sequence - Its sequence number.
 */
export function getLogFilePath(dataFolder: DataFolder, name: string, kind: LogFileKind, sequence: number): string {
	return join(dataFolder.path, `${name}-${String(sequence).padStart(sequenceDigits, '0')}.${kind}`);
}

/**
 * Gets the complete files of a log in ascending order of sequence numbers. Temporary files are left out.
 * @param dataFolder - The data folder.
 * @param name - The name of the log.
 */
export async function getLogFileNames(dataFolder: DataFolder, name: string): Promise<LogFileName[]> {
	const files: LogFileName[] = [];
	for (const fileName of await dataFolder.fileSystem.getFileNames(dataFolder.path)) {
		const match = /^(?<logName>.+)-(?<digits>\d{16})\.(?<kind>log|snapshot)$/v.exec(fileName)?.groups;
		if (match?.logName === name) {
			files.push({fileName, kind: match.kind === 'log' ? 'log' : 'snapshot', sequence: Number(match.digits)});
		}
	}

	return files.toSorted((left, right) => left.sequence - right.sequence);
}

/**
 * Gets the header of a log or snapshot file.
 * @param dataFolder - The data folder.
 * @param name - The name of the log.
 * @param kind - The kind of file.
 */
export function getLogFileHeader(dataFolder: DataFolder, name: string, kind: LogFileKind): LogFileHeader {
	return {kind, folderIdentity: dataFolder.identity, name};
}
