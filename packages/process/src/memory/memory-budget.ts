import type {TimerService} from '@camphortack/core';

/** A part of a budget that is held for a request or a connection. */
export type Reservation = {
	/** The size of the budget. */
	readonly maxBytes: number;
	/** Changes the size. Returns false and keeps the former size if the budget has no room, even after evictions. */
	resize(sizeBytes: number): boolean;
	/** Allows the budget to evict the holder, which then has to end and is called once; undefined if it must not. */
	setEvictable(onEvict: (() => void) | undefined): void;
	release(): void;
};

/** Bounds the memory that clients can make a process keep, over all requests or connections of a kind. */
export type MemoryBudget = {
	readonly maxBytes: number;
	/** Reserves memory. Returns undefined if there is no room, even after evictions. */
	reserve(sizeBytes: number): Reservation | undefined;
	/** Evicts the holder that has held the most for the longest. Returns false if there is none to evict. */
	evictOne(): boolean;
	getUsedBytes(): number;
};

export type MemoryBudgetOptions = {
	maxBytes: number;
	timers: Pick<TimerService, 'getNowMs'>;
};

type Holder = {
	sizeBytes: number;
	sinceMs: number;
	onEvict: (() => void) | undefined;
};

/** The share of the budget that evictions leave in use, so that not every request after them needs one more. */
const shareAfterEviction = 0.875;

/**
 * Creates a budget of which nothing is in use. When it is used up, it evicts those who have held the most memory for the longest:
 * bodies that do not end and responses that are not read. The small body of an ordinary caller, which arrives within
 * milliseconds, or seconds over a link that loses packets, is far from being one of them.
 * @param options - The size, and the clock.
 *
 * @example
 * ```ts
 * const budget = createMemoryBudget({maxBytes: 1000, timers});
 * const first = budget.reserve(900);
 * budget.reserve(200); // undefined
 * first.setEvictable(closeConnection);
 * budget.reserve(200); // The first one is evicted.
 * ```
 */
export function createMemoryBudget({maxBytes, timers}: MemoryBudgetOptions): MemoryBudget {
	const holders = new Set<Holder>();
	let usedBytes = 0;

	function changeSize(holder: Holder, sizeBytes: number): void {
		usedBytes += sizeBytes - holder.sizeBytes;
		holder.sizeBytes = sizeBytes;
	}

	function release(holder: Holder): void {
		if (holders.delete(holder)) {
			changeSize(holder, 0);
		}
	}

	function evict(holder: Holder): void {
		const {onEvict} = holder;
		release(holder);
		holder.onEvict = undefined;
		onEvict?.();
	}

	/** Gets the holders that may be evicted, those that hold the most for the longest first. */
	function getEvictable(except?: Holder): Holder[] {
		const nowMs = timers.getNowMs();
		const evictable = [...holders].filter(holder => holder !== except && holder.onEvict !== undefined);
		return evictable.toSorted((left, right) => getMemoryTime(right, nowMs) - getMemoryTime(left, nowMs));
	}

	function makeRoom(addedBytes: number, requester?: Holder): boolean {
		if (usedBytes + addedBytes <= maxBytes) {
			return true;
		}

		const evictable = getEvictable(requester);
		const evictableBytes = evictable.reduce((sum, {sizeBytes}) => sum + sizeBytes, 0);
		if (usedBytes - evictableBytes + addedBytes > maxBytes) {
			return false;
		}

		const targetBytes = Math.max(maxBytes * shareAfterEviction, addedBytes);
		for (const holder of evictable) {
			if (usedBytes + addedBytes <= targetBytes) {
				break;
			}

			evict(holder);
		}

		return true;
	}

	return {
		maxBytes,
		reserve(sizeBytes) {
			if (!makeRoom(sizeBytes)) {
				return undefined;
			}

			const holder: Holder = {sizeBytes: 0, sinceMs: timers.getNowMs(), onEvict: undefined};
			holders.add(holder);
			changeSize(holder, sizeBytes);
			return {
				maxBytes,
				resize(nextBytes) {
					if (!holders.has(holder) || (nextBytes > holder.sizeBytes && !makeRoom(nextBytes - holder.sizeBytes, holder))) {
						return false;
					}

					changeSize(holder, nextBytes);
					return true;
				},
				setEvictable(onEvict) {
					holder.onEvict = onEvict;
				},
				release() {
					release(holder);
				},
			};
		},
		evictOne() {
			const [worst] = getEvictable();
			if (worst !== undefined) {
				evict(worst);
			}

			return worst !== undefined;
		},
		getUsedBytes: () => usedBytes,
	};
}

function getMemoryTime({sizeBytes, sinceMs}: Holder, nowMs: number): number {
	return sizeBytes * (nowMs - sinceMs + 1);
}
