import {dirname} from 'node:path';
import type {FileSystem} from '../ports/file-system.js';
import {writeAll} from './write-all.js';

/** The suffix of files that are not finished. */
export const temporarySuffix = '.tmp';

/**
 * Writes a whole file so that after a crash it is either there in full or not there.
 * @param fileSystem - The file system.
 * @param path - The file.
 * @param bytes - Its content.
 */
export async function writeFileAtomically(fileSystem: FileSystem, path: string, bytes: Uint8Array): Promise<void> {
	const temporaryPath = `${path}${temporarySuffix}`;
	await fileSystem.removeFile(temporaryPath);
	const file = await fileSystem.openAppendFile(temporaryPath);
	try {
		await writeAll(file, bytes);
		await file.sync();
	} finally {
		await file.close();
	}

	await fileSystem.rename(temporaryPath, path);
	await fileSystem.syncFolder(dirname(path));
}
