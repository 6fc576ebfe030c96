/** A daemon that could run some of the waiting tasks. */
export type Capacity = {
	id: string;
	slots: number;
	/** Free slots less waiting tasks, as far as known. */
	room: number;
};

const steps = 24;

/**
 * Shares out waiting tasks so that every daemon ends with about the same number of waiting tasks for each slot.
 * While there are free slots enough, as few daemons as possible get some.
 * @param taskCount - The tasks to share out.
 * @param capacities - The daemons; those first in the list are preferred.
 * @returns The tasks for each daemon, in the order of `capacities`.
 */
export function getShares(taskCount: number, capacities: readonly Capacity[]): number[] {
	const freeSlots = capacities.reduce((sum, capacity) => sum + getFreeSlots(capacity), 0);
	return freeSlots >= taskCount ? fillFreeSlots(taskCount, capacities) : levelQueues(taskCount, capacities);
}

/** The first daemon that has room for all the rest gets it; while there is none, the one with the most room is filled. */
function fillFreeSlots(taskCount: number, capacities: readonly Capacity[]): number[] {
	const shares = capacities.map(() => 0);
	const left = capacities.map(capacity => getFreeSlots(capacity));
	let remaining = taskCount;
	while (remaining > 0) {
		const index = chooseIndex(remaining, left);
		const share = Math.min(remaining, left[index]!);
		left[index]! -= share;
		shares[index]! += share;
		remaining -= share;
	}

	return shares;
}

function chooseIndex(taskCount: number, freeSlots: readonly number[]): number {
	const sufficient = freeSlots.findIndex(count => count >= taskCount);
	return sufficient === -1 ? freeSlots.indexOf(Math.max(...freeSlots)) : sufficient;
}

function getFreeSlots({slots, room}: Capacity): number {
	return Math.max(0, Math.min(slots, Math.floor(room)));
}

function levelQueues(taskCount: number, capacities: readonly Capacity[]): number[] {
	const level = findLevel(taskCount, capacities);
	const shares = capacities.map(capacity => Math.floor(getShareAt(level, capacity)));
	let remaining = taskCount - shares.reduce((sum, share) => sum + share, 0);
	for (let index = 0; remaining > 0 && index < shares.length; index++) {
		if (capacities[index]!.slots > 0) {
			const extra = Math.min(remaining, Math.ceil(remaining / (shares.length - index)));
			shares[index]! += extra;
			remaining -= extra;
		}
	}

	return shares;
}

/** Finds the number of waiting tasks for each slot at which all tasks are placed. */
function findLevel(taskCount: number, capacities: readonly Capacity[]): number {
	let lower = 0;
	let upper = 1;
	while (sumSharesAt(upper, capacities) < taskCount && upper < 1e6) {
		upper *= 2;
	}

	for (let step = 0; step < steps; step++) {
		const middle = (lower + upper) / 2;
		if (sumSharesAt(middle, capacities) < taskCount) {
			lower = middle;
		} else {
			upper = middle;
		}
	}

	return lower;
}

function sumSharesAt(level: number, capacities: readonly Capacity[]): number {
	let sum = 0;
	for (const capacity of capacities) {
		sum += getShareAt(level, capacity);
	}

	return sum;
}

function getShareAt(level: number, {slots, room}: Capacity): number {
	return slots === 0 ? 0 : Math.max(0, (level * slots) + room);
}
