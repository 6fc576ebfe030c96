import {Buffer} from 'node:buffer';
import {StorageError} from '../errors/storage-error.js';
import {decodeRecords, encodeRecord} from '../utils/record-codec.js';
import {
	encodeFrame, readFrame, hasLaterFrame,
} from './frame.js';

/**
 * The version of the file format. A release writes its own version, and reads its own and the previous one.
 * It rejects all other versions, so that files are upgraded one release at a time.
 */
export const formatVersion = 1;
/** The magic bytes at the start of each file, which the version follows. */
const magic = new TextEncoder().encode('CMPHLOG');
const prefixBytes = magic.length + 1;

/** The header of a log or snapshot file. */
export type LogFileHeader = {
	kind: 'log' | 'snapshot';
	folderIdentity: string;
	name: string;
};

/** The content of a file. */
export type LogFileContent = {
	records: unknown[];
	/** The offset at which the last complete frame ends. */
	validBytes: number;
	/** The next sequence number. */
	nextSequence: number;
};

/**
 * Encodes the magic bytes, the version and the header of a file.
 * @param header - The header.
 * @param firstSequence - The sequence number of its first record.
 * @param seed - The initial value of the checksums.
 */
export function encodeLogFileHeader(header: LogFileHeader, firstSequence: number, seed: number): Uint8Array {
	return Buffer.concat([magic, Uint8Array.of(formatVersion), encodeFrame(firstSequence, encodeRecord(header), seed)]);
}

export type ReadLogFileOptions = {
	path: string;
	bytes: Uint8Array;
	header: LogFileHeader;
	firstSequence: number;
	seed: number;
	/** Whether the last frame of the file may be incomplete, as after a crash during a write. */
	mayHaveTornTail: boolean;
};

/**
 * Reads a file and verifies all of its frames.
 * @param options - The file and its expected header and sequence number.
 * @throws StorageError if the file is damaged, belongs to another log or data folder, or has an unknown format version.
 */
export function readLogFile(options: ReadLogFileOptions): LogFileContent {
	const {bytes, seed} = options;
	let offsetBytes = readHeader(options);
	let nextSequence = options.firstSequence;
	const records: unknown[] = [];
	while (offsetBytes < bytes.length) {
		const frame = readFrame(bytes, offsetBytes, seed);
		if (frame?.sequence !== nextSequence) {
			assertTornTail(options, offsetBytes, nextSequence);
			break;
		}

		for (const record of decodeRecords(frame.payload)) {
			records.push(record);
			nextSequence++;
		}

		offsetBytes = frame.endBytes;
	}

	return {records, validBytes: offsetBytes, nextSequence};
}

function readHeader(options: ReadLogFileOptions): number {
	const {
		path, bytes, header, seed,
	} = options;
	const hasMagic = bytes.length > prefixBytes && magic.every((byte, index) => bytes[index] === byte);
	if (hasMagic && bytes[magic.length] !== formatVersion) {
		const message = `format version ${bytes[magic.length]} is not supported (this release supports ${formatVersion}); run the release that wrote the folder, or upgrade one release at a time`;
		throw new StorageError('storage-version-unknown', path, message, {offsetBytes: magic.length});
	}

	const frame = hasMagic ? readFrame(bytes, prefixBytes, seed) : undefined;
	if (frame === undefined) {
		throw createDamageError(path, 0);
	}

	const [found] = decodeRecords(frame.payload);
	if (JSON.stringify(found) !== JSON.stringify(header)) {
		throw new StorageError('data-folder-foreign', path, 'the file belongs to another log or data folder; restore the right file', {offsetBytes: prefixBytes});
	}

	return frame.endBytes;
}

function assertTornTail(options: ReadLogFileOptions, offsetBytes: number, sequence: number): void {
	const isTorn = options.mayHaveTornTail && readFrame(options.bytes, offsetBytes, options.seed) === undefined;
	if (!isTorn || hasLaterFrame(options.bytes, offsetBytes, sequence, options.seed)) {
		throw createDamageError(options.path, offsetBytes);
	}
}

function createDamageError(path: string, offsetBytes: number): StorageError {
	const message = [
		'the file is damaged before its end; nothing was changed.',
		'Restore the data folder from a backup, or move it away and start this keeper as a new, empty one:',
		'it then fetches the configuration from the other keepers, and its job register starts a new epoch',
	].join(' ');
	return new StorageError('storage-damaged', path, message, {offsetBytes});
}
