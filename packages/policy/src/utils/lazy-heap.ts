import {Heap} from 'mnemonist';

/** A min-heap with lazy deletion: stale entries are skipped at the top and removed in bulk. */
export type LazyHeap<T> = {
	push(entry: T): void;
	/** Returns the smallest live entry without removing it. */
	peek(): T | undefined;
	/** Removes and returns the smallest live entry. */
	pop(): T | undefined;
};

const minCompactionThreshold = 64;

/**
 * Creates a heap with lazy deletion. Each operation takes amortized logarithmic time.
 * @param compare - Compares two entries.
 * @param isLive - Whether an entry is still valid. An entry that has become stale must stay stale.
 */
export function createLazyHeap<T>(compare: (left: T, right: T) => number, isLive: (entry: T) => boolean): LazyHeap<T> {
	let heap = new Heap<T>(compare);
	let compactionThreshold = minCompactionThreshold;

	function push(entry: T): void {
		heap.push(entry);
		if (heap.size > compactionThreshold) {
			const live = heap.toArray().filter(each => isLive(each));
			heap = Heap.from(live, compare);
			compactionThreshold = Math.max(minCompactionThreshold, 2 * live.length);
		}
	}

	function peek(): T | undefined {
		while (heap.size > 0) {
			const least = heap.peek()!;
			if (isLive(least)) {
				return least;
			}

			heap.pop();
		}

		return undefined;
	}

	function pop(): T | undefined {
		return peek() === undefined ? undefined : heap.pop();
	}

	return {push, peek, pop};
}
