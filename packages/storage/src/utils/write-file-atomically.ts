import {dirname} from 'node:path';
import type {FileSystem} from '../ports/file-system.js';
import {writeAll} from './write-all.js';

/** The suffix of files that are not finished. */
export const temporarySuffix = '.tmp';

/**
 * Writes a whole file so that after a crash it is either there in full or not there.
 * @param fileSystem - The file system.
 * @param path - The file.
 * @param chunks - Its content.
 * @param onWritten - Awaited before the file appears under its name.
 */
export async function writeFileAtomically(
	fileSystem: FileSystem,
	path: string,
	chunks: Iterable<Uint8Array>,
	onWritten: () => Promise<void> = async () => undefined,
): Promise<void> {
	const temporaryPath = `${path}${temporarySuffix}`;
	await fileSystem.removeFile(temporaryPath);
	const file = await fileSystem.openAppendFile(temporaryPath);
	try {
		for (const chunk of chunks) {
			// eslint-disable-next-line no-await-in-loop -- A large content is made and written a chunk at a time.
			await writeAll(file, chunk);
		}

		await file.sync();
		await onWritten();
	} finally {
		await file.close();
	}

	await fileSystem.rename(temporaryPath, path);
	await fileSystem.syncFolder(dirname(path));
}
