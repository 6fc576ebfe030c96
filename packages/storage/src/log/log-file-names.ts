import {join} from 'node:path';
import type {DataFolder} from '../folder/data-folder.js';
import type {LogFileHeader} from './log-file.js';

const sequenceDigits = 16;

/** The kinds of file that a log is kept in. */
export type LogFileKind = 'log' | 'snapshot';

/** One file of a log. */
export type LogFileName = {
	fileName: string;
	kind: LogFileKind;
	/** The first sequence number of a log file, the last one that a snapshot covers. */
	sequence: number;
};

/**
 * Gets the path of a file of a log.
 * @param dataFolder - The data folder.
 * @param name - The log.
 * @param kind - The kind of file.
 * @param sequence - Its sequence number.
 */
export function getLogFilePath(dataFolder: DataFolder, name: string, kind: LogFileKind, sequence: number): string {
	return join(dataFolder.path, `${name}-${String(sequence).padStart(sequenceDigits, '0')}.${kind}`);
}

/**
 * Gets the finished files of a log, by rising sequence number.
 * @param dataFolder - The data folder.
 * @param name - The log.
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
 * Gets what a file of a log begins with.
 * @param dataFolder - The data folder.
 * @param name - The log.
 * @param kind - The kind of file.
 */
export function getLogFileHeader(dataFolder: DataFolder, name: string, kind: LogFileKind): LogFileHeader {
	return {kind, folderIdentity: dataFolder.identity, name};
}
