import {StorageError} from '../errors/storage-error.js';

/**
 * Converts an error of the file system into one that tells the operator what to do.
 * @param error - What the file system reported.
 * @param path - The data folder.
 */
export function toStorageError(error: unknown, path: string): StorageError {
	const isDiskFull = error instanceof Error && 'code' in error && (error.code === 'ENOSPC' || error.code === 'EDQUOT');
	if (isDiskFull) {
		return new StorageError('storage-disk-full', path, 'the disk is full; nothing acknowledged is lost. Free space and start the daemon again', {cause: error});
	}

	const reason = error instanceof Error ? error.message : String(error);
	const message = `a write or sync failed (${reason}) and is not tried again, since the state of the file is unknown; look at the disk, then start the daemon again`;
	return new StorageError('storage-failed', path, message, {cause: error});
}
