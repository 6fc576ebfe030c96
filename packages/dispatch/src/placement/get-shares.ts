/** The capacity of a daemon that could run some of the queued tasks. */
export type Capacity = {
	id: string;
	slots: number;
	/** The last known number of free slots minus queued tasks. */
	room: number;
};

const bisectionSteps = 24;

/**
 * Distributes queued tasks so that every daemon ends up with about the same number of queued tasks per slot.
 * While there are enough free slots, the tasks go to as few daemons as possible.
 * @param taskCount - The number of tasks to distribute.
 * @param capacities - The daemons, in order of preference.
 * @returns The number of tasks for each daemon, in the order of `capacities`.
 */
export function getShares(taskCount: number, capacities: readonly Capacity[]): number[] {
	const freeSlots = capacities.reduce((sum, capacity) => sum + getFreeSlots(capacity), 0);
	return freeSlots >= taskCount ? fillFreeSlots(taskCount, capacities) : levelQueues(taskCount, capacities);
}

/** Gives all remaining tasks to the first daemon with enough free slots; until there is one, fills the daemon with the most. */
function fillFreeSlots(taskCount: number, capacities: readonly Capacity[]): number[] {
	const shares = capacities.map(() => 0);
	const remainingFreeSlots = capacities.map(capacity => getFreeSlots(capacity));
	let remaining = taskCount;
	while (remaining > 0) {
		const index = chooseIndex(remaining, remainingFreeSlots);
		const share = Math.min(remaining, remainingFreeSlots[index]!);
		remainingFreeSlots[index]! -= share;
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

/** Finds, by bisection, the number of queued tasks per slot at which all tasks are distributed. */
function findLevel(taskCount: number, capacities: readonly Capacity[]): number {
	let lower = 0;
	let upper = 1;
	while (sumSharesAt(upper, capacities) < taskCount && upper < 1e6) {
		upper *= 2;
	}

	for (let step = 0; step < bisectionSteps; step++) {
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
