import {StorageError} from '../errors/storage-error.js';

/**
 * Converts an error of the file system to a StorageError that tells the operator how to resolve it.
 * @param error - The error that the file system reported.
 * @param path - The data folder.
 */
export function toStorageError(error: unknown, path: string): StorageError {
	const isDiskFull = error instanceof Error && 'code' in error && (error.code === 'ENOSPC' || error.code === 'EDQUOT');
	if (isDiskFull) {
		return new StorageError('storage-disk-full', path, 'the disk is full; no acknowledged record is lost. Free some space and restart the daemon', {cause: error});
	}

	const reason = error instanceof Error ? error.message : String(error);
	const message = `a write or sync failed (${reason}) and is not retried, because the state of the file is unknown; check the disk, then restart the daemon`;
	return new StorageError('storage-failed', path, message, {cause: error});
}
