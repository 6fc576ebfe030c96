import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/**
 * Computes a 32-bit hash of a text. The result is the same on every VM.
 * @param text - The text.
 */
export function hashText(text: string): number {
	return h32(text);
}
