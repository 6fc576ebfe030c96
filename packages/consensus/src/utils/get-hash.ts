import {createHash} from 'node:crypto';

const hashBytes = 6;

/** The exclusive upper bound of a hash. */
export const hashRange = 2 ** (8 * hashBytes);

/**
 * Gets a 48-bit hash as an integer.
 * @param text - The text to hash.
 */
export function getHash(text: string): number {
	return createHash('sha256').update(text).digest().readUIntBE(0, hashBytes);
}
