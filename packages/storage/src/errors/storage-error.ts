import {CamphortackError} from '@camphortack/core';

/** The reasons for which storage cannot be opened or stops. */
export type StorageErrorCode
	= 'data-folder-locked'
		| 'data-folder-foreign'
		| 'storage-damaged'
		| 'storage-file-missing'
		| 'storage-version-unknown'
		| 'storage-disk-full'
		| 'storage-failed';

/** Reports that the data folder cannot be used. The message names the file, the offset and the remedy. */
export class StorageError extends CamphortackError {
	/** The path of the affected file or folder. */
	readonly path: string;
	/** The offset in the file at which the fault was found. */
	readonly offsetBytes: number | undefined;

	/**
	 * Creates the error.
	 * @param code - A stable code.
	 * @param path - The path of the affected file or folder.
	 * @param message - The problem and how the operator can resolve it.
	 * @param options - The offset in the file and the cause.
	 */
	constructor(code: StorageErrorCode, path: string, message: string, options: ErrorOptions & {offsetBytes?: number} = {}) {
		const place = options.offsetBytes === undefined ? path : `${path} at offset ${options.offsetBytes}`;
		super(code, `${place}: ${message}`, options);
		this.path = path;
		this.offsetBytes = options.offsetBytes;
	}
}
