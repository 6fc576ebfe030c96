import type {AppendFile} from '../ports/file-system.js';

/**
 * Writes all bytes, in several writes if need be.
 * @param file - The file.
 * @param bytes - The bytes.
 * @throws Error if a write makes no progress.
 */
export async function writeAll(file: AppendFile, bytes: Uint8Array): Promise<void> {
	let position = 0;
	while (position < bytes.length) {
		// eslint-disable-next-line no-await-in-loop -- Each write goes on where the last one ended.
		const writtenBytes = await file.write(bytes.subarray(position));
		if (writtenBytes === 0) {
			throw new Error('the file takes no more bytes');
		}

		position += writtenBytes;
	}
}
