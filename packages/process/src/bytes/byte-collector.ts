import {Buffer} from 'node:buffer';
import {poolBlockBytes, returnBlock, takeBlock} from './block-pool.js';

/** Collects bytes that arrive in chunks. They are copied into a few blocks, so that a small chunk costs no more than its bytes. */
export type ByteCollector = {
	/** Gets the number of bytes that are allocated once a number of bytes is added. */
	getCapacityFor(addedBytes: number): number;
	/** Gets the number of bytes that are allocated. */
	getCapacity(): number;
	getSize(): number;
	add(chunk: Uint8Array): void;
	/** Gets all bytes in one piece, and empties the collector. */
	takeBytes(): Uint8Array;
	/** Discards all bytes. */
	clear(): void;
};

/** The sizes of the first blocks; all further ones come from the pool. */
const firstBlockBytes = [1024, 4096, 16_384];

/**
 * Creates an empty collector.
 *
 * @example
 * ```ts
 * const collector = createByteCollector();
 * collector.add(new Uint8Array([1]));
 * collector.add(new Uint8Array([2, 3]));
 * collector.getCapacity(); // 1024
 * collector.takeBytes(); // Uint8Array [1, 2, 3]
 * ```
 */
export function createByteCollector(): ByteCollector {
	let blocks: Uint8Array[] = [];
	let capacity = 0;
	let size = 0;

	function getBlockBytes(position: number): number {
		return firstBlockBytes[position] ?? poolBlockBytes;
	}

	function getCapacityFor(addedBytes: number): number {
		let nextCapacity = capacity;
		for (let position = blocks.length; nextCapacity < size + addedBytes; position++) {
			nextCapacity += getBlockBytes(position);
		}

		return nextCapacity;
	}

	function addBlock(): void {
		const blockBytes = getBlockBytes(blocks.length);
		blocks.push(blockBytes === poolBlockBytes ? takeBlock() : new Uint8Array(blockBytes));
		capacity += blockBytes;
	}

	function clear(): void {
		for (const block of blocks) {
			if (block.length === poolBlockBytes) {
				returnBlock(block);
			}
		}

		blocks = [];
		capacity = 0;
		size = 0;
	}

	return {
		getCapacityFor,
		getCapacity: () => capacity,
		getSize: () => size,
		add(chunk) {
			for (let addedBytes = 0; addedBytes < chunk.length;) {
				if (size === capacity) {
					addBlock();
				}

				const block = blocks.at(-1)!;
				const part = chunk.subarray(addedBytes, addedBytes + (capacity - size));
				block.set(part, block.length - (capacity - size));
				size += part.length;
				addedBytes += part.length;
			}
		},
		takeBytes() {
			const bytes = Buffer.concat(blocks, size);
			clear();
			return bytes;
		},
		clear,
	};
}
