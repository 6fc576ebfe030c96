/** A file that is open for appending. */
export abstract class AppendFile {
	/**
	 * Writes at the end of the file.
	 * @param bytes - The bytes.
	 * @returns How many of them were written, which may be fewer.
	 */
	abstract write(bytes: Uint8Array): Promise<number>;
	/** Makes everything written durable. */
	abstract sync(): Promise<void>;
	/** Cuts the file off. */
	abstract truncate(sizeBytes: number): Promise<void>;
	abstract close(): Promise<void>;
}

/** A folder held against every other process. */
export type FolderLock = {
	release(): Promise<void>;
};

/** The file operations that the storage needs. Nothing is durable before its sync. */
export abstract class FileSystem {
	/** Creates a folder and its parents, if absent. */
	abstract createFolder(path: string): Promise<void>;
	/** Gets the names of the files in a folder. */
	abstract getFileNames(path: string): Promise<string[]>;
	/** Reads a whole file; undefined if there is none. */
	abstract readFileIfExists(path: string): Promise<Uint8Array | undefined>;
	/** Opens a file for appending, and creates it if absent. */
	abstract openAppendFile(path: string): Promise<AppendFile>;
	abstract rename(fromPath: string, toPath: string): Promise<void>;
	abstract removeFile(path: string): Promise<void>;
	/** Makes the creations, renames and removals in a folder durable. */
	abstract syncFolder(path: string): Promise<void>;
	/**
	 * Locks a folder.
	 * @throws StorageError with code `data-folder-locked` if another process holds it.
	 */
	abstract lockFolder(path: string): Promise<FolderLock>;
}
