import type {AppendFile} from '../ports/file-system.js';

/**
 * Writes all bytes, with several writes if necessary.
 * @param file - The file.
 * @param bytes - The bytes.
 * @throws Error if a write makes no progress.
 */
export async function writeAll(file: AppendFile, bytes: Uint8Array): Promise<void> {
	let position = 0;
	while (position < bytes.length) {
		// eslint-disable-next-line no-await-in-loop -- Each write continues where the previous one ended.
		const writtenBytes = await file.write(bytes.subarray(position));
		if (writtenBytes === 0) {
			throw new Error('a write to the file made no progress');
		}

		position += writtenBytes;
	}
}
