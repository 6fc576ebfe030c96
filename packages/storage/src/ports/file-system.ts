/** A file that is open for appending. */
export abstract class AppendFile {
	/**
	 * Writes at the end of the file.
	 * @param bytes - The bytes.
	 * @returns The number of bytes written, which may be less than requested.
	 */
	abstract write(bytes: Uint8Array): Promise<number>;
	/** Makes all written data durable. */
	abstract sync(): Promise<void>;
	/** Truncates the file to a size. */
	abstract truncate(sizeBytes: number): Promise<void>;
	abstract close(): Promise<void>;
}

/** An exclusive lock on a folder. */
export type FolderLock = {
	release(): Promise<void>;
};

/** The file operations used by the storage. A change is durable only after a sync. */
export abstract class FileSystem {
	/** Creates a folder and its parents if they do not exist. */
	abstract createFolder(path: string): Promise<void>;
	/** Gets the names of the files in a folder. */
	abstract getFileNames(path: string): Promise<string[]>;
	/** Reads a whole file, or returns undefined if it does not exist. */
	abstract readFileIfExists(path: string): Promise<Uint8Array | undefined>;
	/** Opens a file for appending, and creates it if it does not exist. */
	abstract openAppendFile(path: string): Promise<AppendFile>;
	abstract rename(fromPath: string, toPath: string): Promise<void>;
	abstract removeFile(path: string): Promise<void>;
	/** Makes the creations, renames and removals in a folder durable. */
	abstract syncFolder(path: string): Promise<void>;
	/**
	 * Locks a folder.
	 * @throws StorageError with code `data-folder-locked` if another process has locked it.
	 */
	abstract lockFolder(path: string): Promise<FolderLock>;
}
