import {dirname} from 'node:path';
import type {FileSystem} from '../ports/file-system.js';
import {writeAll} from './write-all.js';

/** The suffix of temporary files. */
export const temporarySuffix = '.tmp';

/**
 * Writes a file so that after a crash it either exists with its full content or is unchanged.
 * @param fileSystem - The file system.
 * @param path - The path of the file.
 * @param chunks - The content of the file.
 * @param onWritten - Awaited after the content is synced and before the file is renamed to its final path.
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
			// eslint-disable-next-line no-await-in-loop -- Large content is generated and written in chunks.
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
