import {Buffer} from 'node:buffer';
import {dirname} from 'node:path';
import type {RandomSource} from '@camphortack/core';
import {
	AppendFile, FileSystem, StorageError, type FolderLock,
} from '@camphortack/storage';

type FakeFile = {
	syncedBytes: Uint8Array;
	/** The writes since the last sync. After a crash, any of them may be lost. */
	unsyncedWrites: Uint8Array[];
};

type FolderChange = {fromPath?: string; toPath?: string; file: FakeFile};

/** An in-memory disk with fault injection. After a crash, any combination of unsynced changes may survive. */
export class FaultyFileSystem extends FileSystem {
	shouldFailSync = false;
	/** Makes syncs report success without any effect, to verify that the tests detect it. */
	shouldIgnoreSyncs = false;
	/** Paths of files whose syncs block until this is changed. */
	blockedSyncPaths: RegExp | undefined;
	/** The number of bytes that can still be written. */
	freeBytes = Number.POSITIVE_INFINITY;
	/** The maximum number of bytes per write. */
	maxWriteBytes = Number.POSITIVE_INFINITY;
	readonly files = new Map<string, FakeFile>();
	readonly #durableFiles = new Map<string, FakeFile>();
	#folderChanges: FolderChange[] = [];
	#isLocked = false;

	/**
	 * Simulates a crash that loses the process and the cache of the disk.
	 * @returns The disk as the next process finds it. Later writes of the crashed process do not reach it.
	 */
	crash(random: RandomSource): FaultyFileSystem {
		for (const change of this.#folderChanges) {
			if (random.getInteger(0, 1) === 1) {
				this.#apply(change);
			}
		}

		const diskAfterCrash = new FaultyFileSystem();
		diskAfterCrash.shouldIgnoreSyncs = this.shouldIgnoreSyncs;
		for (const [path, file] of this.#durableFiles) {
			const found = {syncedBytes: getBytesAfterCrash(file, random), unsyncedWrites: []};
			diskAfterCrash.files.set(path, found);
			diskAfterCrash.#durableFiles.set(path, found);
		}

		return diskAfterCrash;
	}

	/** Changes the content of a file, to simulate a disk fault. */
	damageFile(path: string, change: (bytes: Uint8Array) => Uint8Array): void {
		const file = this.files.get(path)!;
		file.syncedBytes = change(getBytes(file));
		file.unsyncedWrites = [];
	}

	override async createFolder(): Promise<void> {
		await Promise.resolve();
	}

	override async getFileNames(path: string): Promise<string[]> {
		return [...this.files.keys()].filter(name => dirname(name) === path).map(name => name.slice(path.length + 1));
	}

	override async readFileIfExists(path: string): Promise<Uint8Array | undefined> {
		const file = this.files.get(path);
		return file === undefined ? undefined : getBytes(file);
	}

	override async openAppendFile(path: string): Promise<AppendFile> {
		const file = this.files.get(path) ?? {syncedBytes: new Uint8Array(), unsyncedWrites: []};
		if (!this.files.has(path)) {
			this.files.set(path, file);
			this.#folderChanges.push({toPath: path, file});
		}

		const reserveBytes = this.#reserveBytes.bind(this);
		const checkSync = this.#checkSync.bind(this);
		const waitWhileBlocked = this.#waitWhileBlocked.bind(this, path);
		return new class extends AppendFile {
			override async write(bytes: Uint8Array): Promise<number> {
				const taken = reserveBytes(bytes.length);
				file.unsyncedWrites.push(bytes.slice(0, taken));
				return taken;
			}

			override async sync(): Promise<void> {
				await waitWhileBlocked();
				if (!checkSync()) {
					return;
				}

				file.syncedBytes = getBytes(file);
				file.unsyncedWrites = [];
			}

			override async truncate(sizeBytes: number): Promise<void> {
				file.syncedBytes = getBytes(file).slice(0, sizeBytes);
				file.unsyncedWrites = [];
			}

			override async close(): Promise<void> {
				await Promise.resolve();
			}
		}();
	}

	override async rename(fromPath: string, toPath: string): Promise<void> {
		const file = this.files.get(fromPath)!;
		this.files.delete(fromPath);
		this.files.set(toPath, file);
		this.#folderChanges.push({fromPath, toPath, file});
	}

	override async removeFile(path: string): Promise<void> {
		const file = this.files.get(path);
		if (file !== undefined) {
			this.files.delete(path);
			this.#folderChanges.push({fromPath: path, file});
		}
	}

	override async syncFolder(): Promise<void> {
		if (!this.#checkSync()) {
			return;
		}

		for (const change of this.#folderChanges) {
			this.#apply(change);
		}

		this.#folderChanges = [];
	}

	override async lockFolder(path: string): Promise<FolderLock> {
		if (this.#isLocked) {
			throw new StorageError('data-folder-locked', path, 'in use');
		}

		this.#isLocked = true;
		return {
			release: async () => {
				this.#isLocked = false;
			},
		};
	}

	#apply(change: FolderChange): void {
		if (change.fromPath !== undefined && this.#durableFiles.get(change.fromPath) === change.file) {
			this.#durableFiles.delete(change.fromPath);
		}

		if (change.toPath !== undefined) {
			this.#durableFiles.set(change.toPath, change.file);
		}
	}

	#reserveBytes(wantedBytes: number): number {
		if (this.freeBytes <= 0) {
			throw Object.assign(new Error('no space left on device'), {code: 'ENOSPC'});
		}

		const taken = Math.min(wantedBytes, this.freeBytes, this.maxWriteBytes);
		this.freeBytes -= taken;
		return taken;
	}

	async #waitWhileBlocked(path: string): Promise<void> {
		while (this.blockedSyncPaths?.test(path) === true) {
			// eslint-disable-next-line no-await-in-loop -- The test unblocks the path in another turn.
			await new Promise<void>(resolve => {
				setImmediate(resolve);
			});
		}
	}

	#checkSync(): boolean {
		if (this.shouldFailSync) {
			throw Object.assign(new Error('input/output error'), {code: 'EIO'});
		}

		return !this.shouldIgnoreSyncs;
	}
}

function getBytes(file: FakeFile): Uint8Array {
	return new Uint8Array(Buffer.concat([file.syncedBytes, ...file.unsyncedWrites]));
}

function getBytesAfterCrash(file: FakeFile, random: RandomSource): Uint8Array {
	const parts = [file.syncedBytes];
	for (const write of file.unsyncedWrites) {
		const outcome = random.getInteger(0, 3);
		if (outcome === 0) {
			break;
		}

		// The write is complete, replaced with zeros, or truncated.
		const kept = outcome === 1 ? write : write.map(byte => outcome === 2 ? 0 : byte);
		parts.push(outcome === 3 ? kept.slice(0, random.getInteger(0, kept.length)) : kept);
	}

	return new Uint8Array(Buffer.concat(parts));
}
