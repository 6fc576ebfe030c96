import {createHash} from 'node:crypto';

const hashBytes = 6;

/** One more than the largest hash. */
export const hashRange = 2 ** (8 * hashBytes);

/**
 * Gets a hash of 48 bits as a whole number.
 * @param text - The text.
 */
export function getHash(text: string): number {
	return createHash('sha256').update(text).digest().readUIntBE(0, hashBytes);
}
