import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Gets a 32-bit digest of a text. */
export function getDigest(text: string): number {
	return h32(text);
}
