/** The size of the blocks of the pool, in bytes. */
export const poolBlockBytes = 65_536;

/** More are left to the garbage collector. */
const maxFreeBlocks = 512;
const freeBlocks: Uint8Array[] = [];

/**
 * Takes a block from the pool of the process. Blocks are used again, because a process that receives many large bodies would
 * otherwise allocate blocks faster than the garbage collector frees them.
 */
export function takeBlock(): Uint8Array {
	return freeBlocks.pop() ?? new Uint8Array(poolBlockBytes);
}

/**
 * Gives a block back, which must not be used any more.
 * @param block - A block that was taken from the pool.
 */
export function returnBlock(block: Uint8Array): void {
	if (freeBlocks.length < maxFreeBlocks) {
		freeBlocks.push(block);
	}
}
