import {join} from 'node:path';
import type {RandomSource} from '@camphortack/core';
import crc32 from 'crc-32';
import {NodeFileSystem} from '../adapters/node-file-system.js';
import {StorageError} from '../errors/storage-error.js';
import {encodeLogFileHeader, readLogFile, type LogFileHeader} from '../log/log-file.js';
import {encodeFrame} from '../log/frame.js';
import type {FileSystem} from '../ports/file-system.js';
import {encodeRecord} from '../utils/record-codec.js';
import {writeFileAtomically} from '../utils/write-file-atomically.js';

const manifestFileName = 'manifest';
const manifestHeader: LogFileHeader = {kind: 'snapshot', folderIdentity: '', name: manifestFileName};

type Manifest = {
	identity: string;
	daemonId: string;
	logNames: string[];
};

export type DataFolderOptions = {
	path: string;
	/** The id of the daemon that owns the folder. */
	daemonId: string;
	random: RandomSource;
	/** Defaults to the file system of the VM. */
	fileSystem?: FileSystem;
};

/** A locked folder that stores the durable state of one daemon. */
export type DataFolder = {
	readonly path: string;
	/** A random identifier generated when the folder is created, so that a lost or replaced disk can be recognized. */
	readonly identity: string;
	/** Whether the folder was newly created. */
	readonly isNew: boolean;
	readonly fileSystem: FileSystem;
	/** The initial value of the checksums in its files. */
	readonly checksumSeed: number;
	/** Whether a log of this name was created before. */
	hasLog(name: string): boolean;
	/** Records in the manifest that a log was created, so that its loss is detected. */
	registerLog(name: string): Promise<void>;
	/** Unlocks the folder. Its logs must be closed first. */
	close(): Promise<void>;
};

/**
 * Opens or creates the data folder of a daemon and locks it.
 * @param options - The path of the folder and the daemon that owns it.
 * @throws StorageError if another process has locked the folder, if it belongs to another daemon or if it is damaged.
 *
 * @example
 * ```ts
 * const dataFolder = await openDataFolder({path: '/var/lib/camphortack', daemonId: 'entry-1', random});
 * const log = await openRecordLog({dataFolder, name: 'register', events, metrics, timers, onFailure});
 * ```
 */
export async function openDataFolder(options: DataFolderOptions): Promise<DataFolder> {
	const {path, daemonId, random, fileSystem = new NodeFileSystem()} = options;
	await fileSystem.createFolder(path);
	const lock = await fileSystem.lockFolder(path);
	try {
		const manifestPath = join(path, manifestFileName);
		const found = await findManifest(fileSystem, manifestPath, daemonId);
		const manifest = found ?? {identity: random.getIdentifier(), daemonId, logNames: []};
		if (found === undefined) {
			await assertNoLogs(fileSystem, path, manifestPath);
			await writeManifest(fileSystem, manifestPath, manifest);
		}

		return {
			path,
			identity: manifest.identity,
			isNew: found === undefined,
			fileSystem,
			checksumSeed: crc32.str(manifest.identity),
			hasLog: name => manifest.logNames.includes(name),
			async registerLog(name) {
				manifest.logNames.push(name);
				await writeManifest(fileSystem, manifestPath, manifest);
			},
			close: async () => lock.release(),
		};
	} catch (error) {
		await lock.release();
		throw error;
	}
}

async function findManifest(fileSystem: FileSystem, path: string, daemonId: string): Promise<Manifest | undefined> {
	const bytes = await fileSystem.readFileIfExists(path);
	if (bytes === undefined) {
		return undefined;
	}

	const {records} = readLogFile({
		path,
		bytes,
		header: manifestHeader,
		firstSequence: 1,
		seed: 0,
		mayHaveTornTail: false,
	});
	const [manifest] = records;
	if (!isManifest(manifest)) {
		throw new StorageError('storage-damaged', path, 'the manifest cannot be decoded; restore the data folder from a backup');
	}

	if (manifest.daemonId !== daemonId) {
		const message = `the data folder belongs to daemon "${manifest.daemonId}", but this is daemon "${daemonId}"; specify the right folder, or an empty one`;
		throw new StorageError('data-folder-foreign', path, message);
	}

	return manifest;
}

function isManifest(value: unknown): value is Manifest {
	return typeof value === 'object' && value !== null
		&& 'identity' in value && typeof value.identity === 'string'
		&& 'daemonId' in value && typeof value.daemonId === 'string'
		&& 'logNames' in value && Array.isArray(value.logNames);
}

async function assertNoLogs(fileSystem: FileSystem, path: string, manifestPath: string): Promise<void> {
	const names = await fileSystem.getFileNames(path);
	if (names.some(name => /\.(?:log|snapshot)$/v.test(name))) {
		const message = 'the manifest is missing although the folder contains logs; restore it from a backup, or move the folder away and start with an empty one';
		throw new StorageError('storage-file-missing', manifestPath, message);
	}
}

async function writeManifest(fileSystem: FileSystem, path: string, manifest: Manifest): Promise<void> {
	const start = encodeLogFileHeader(manifestHeader, 1, 0);
	await writeFileAtomically(fileSystem, path, [start, encodeFrame(1, encodeRecord(manifest), 0)]);
}
