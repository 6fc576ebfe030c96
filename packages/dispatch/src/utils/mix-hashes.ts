/* eslint-disable no-bitwise -- Hashing is arithmetic on bits. */
/**
 * Mixes two hashes into one 32-bit hash, using the finalizer of MurmurHash3.
 * @param left - The first hash.
 * @param right - The second hash.
 */
export function mixHashes(left: number, right: number): number {
	let mixed = Math.imul(left, 0x85_EB_CA_6B) ^ right;
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
