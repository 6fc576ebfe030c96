import {Heap} from 'mnemonist';

/** A heap whose entries die by themselves: dead ones are skipped and dropped in bulk. */
export type LazyHeap<T> = {
	push(entry: T): void;
	/** Finds the least live entry. */
	findLeast(): T | undefined;
	/** Removes and gets the least live entry. */
	takeLeast(): T | undefined;
};

const smallestCompactedSize = 64;

/**
 * Creates a heap with lazy removal. Each operation takes amortised logarithmic time.
 * @param compare - Orders two entries.
 * @param isLive - Whether an entry still counts. A dead entry never lives again.
 */
export function createLazyHeap<T>(compare: (left: T, right: T) => number, isLive: (entry: T) => boolean): LazyHeap<T> {
	let heap = new Heap<T>(compare);
	let compactedSize = smallestCompactedSize;

	function push(entry: T): void {
		heap.push(entry);
		if (heap.size > compactedSize) {
			const live = heap.toArray().filter(each => isLive(each));
			heap = Heap.from(live, compare);
			compactedSize = Math.max(smallestCompactedSize, 2 * live.length);
		}
	}

	function findLeast(): T | undefined {
		while (heap.size > 0) {
			const least = heap.peek()!;
			if (isLive(least)) {
				return least;
			}

			heap.pop();
		}

		return undefined;
	}

	function takeLeast(): T | undefined {
		return findLeast() === undefined ? undefined : heap.pop();
	}

	return {push, findLeast, takeLeast};
}
