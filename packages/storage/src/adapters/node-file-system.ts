import {
	mkdir, open, readdir, readFile, rename, rm, type FileHandle,
} from 'node:fs/promises';
import {AppendFile, FileSystem, type FolderLock} from '../ports/file-system.js';
import {lockFolder} from './lock-folder.js';

class NodeAppendFile extends AppendFile {
	readonly #handle: FileHandle;

	constructor(handle: FileHandle) {
		super();
		this.#handle = handle;
	}

	override async write(bytes: Uint8Array): Promise<number> {
		const {bytesWritten} = await this.#handle.write(bytes);
		return bytesWritten;
	}

	override async sync(): Promise<void> {
		await this.#handle.datasync();
	}

	override async truncate(sizeBytes: number): Promise<void> {
		await this.#handle.truncate(sizeBytes);
	}

	override async close(): Promise<void> {
		await this.#handle.close();
	}
}

/** The file system of the VM, accessed through `node:fs`. */
export class NodeFileSystem extends FileSystem {
	override async createFolder(path: string): Promise<void> {
		await mkdir(path, {recursive: true});
	}

	override async getFileNames(path: string): Promise<string[]> {
		return readdir(path);
	}

	override async readFileIfExists(path: string): Promise<Uint8Array | undefined> {
		try {
			return await readFile(path);
		} catch (error) {
			if (error instanceof Error && 'code' in error && error.code === 'ENOENT') {
				return undefined;
			}

			throw error;
		}
	}

	override async openAppendFile(path: string): Promise<AppendFile> {
		return new NodeAppendFile(await open(path, 'a'));
	}

	override async rename(fromPath: string, toPath: string): Promise<void> {
		await rename(fromPath, toPath);
	}

	override async removeFile(path: string): Promise<void> {
		await rm(path, {force: true});
	}

	override async syncFolder(path: string): Promise<void> {
		const handle = await open(path, 'r');
		try {
			await handle.sync();
		} finally {
			await handle.close();
		}
	}

	override async lockFolder(path: string): Promise<FolderLock> {
		return lockFolder(path);
	}
}
