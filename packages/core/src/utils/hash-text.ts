import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/**
 * Hashes a text to 32 bits, the same on every VM.
 * @param text - The text.
 */
export function hashText(text: string): number {
	return h32(text);
}
