import {CamphortackError} from '@camphortack/core';

/** Why the storage refuses to open or stops. */
export type StorageErrorCode
	= 'data-folder-locked'
		| 'data-folder-foreign'
		| 'storage-damaged'
		| 'storage-file-missing'
		| 'storage-version-unknown'
		| 'storage-disk-full'
		| 'storage-failed';

/** The data folder cannot be used. The message names the file, the offset and what the operator can do. */
export class StorageError extends CamphortackError {
	/** The file at fault. */
	readonly path: string;
	/** Where in the file the fault was found. */
	readonly offsetBytes: number | undefined;

	/**
	 * Creates the error.
	 * @param code - A stable code.
	 * @param path - The file at fault.
	 * @param message - What happened and what the operator can do.
	 * @param options - The offset in the file and the cause.
	 */
	constructor(code: StorageErrorCode, path: string, message: string, options: ErrorOptions & {offsetBytes?: number} = {}) {
		const place = options.offsetBytes === undefined ? path : `${path} at offset ${options.offsetBytes}`;
		super(code, `${place}: ${message}`, options);
		this.path = path;
		this.offsetBytes = options.offsetBytes;
	}
}
