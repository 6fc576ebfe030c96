import type {TimerService} from '@camphortack/core';

/** Bounds retries to a ratio of successes. */
export type RetryBudget = {
	addSuccess(): void;
	/** Takes one retry from the budget; false if it is used up. */
	takeRetry(): boolean;
};

export type RetryBudgetOptions = {
	timers: TimerService;
	/** Retries allowed for each success; 0 allows none at all. */
	ratio: number;
	/** Retries allowed each second without any success. */
	minRetriesPerSecond?: number;
};

const defaultFloorPerSecond = 0.5;
/** The most retries that a quiet time saves up from the floor. */
const mostRetriesFromFloor = 5;
/** The most retries that successes save up. */
const mostRetriesFromSuccesses = 50;

/**
 * Creates a budget of retries: a ratio of successes and a small floor.
 *
 * @example
 * ```ts
 * const budget = createRetryBudget({timers, ratio: 0.1});
 * if (budget.takeRetry()) {
 * 	placeAgain(task);
 * }
 * ```
 */
export function createRetryBudget({timers, ratio, minRetriesPerSecond = defaultFloorPerSecond}: RetryBudgetOptions): RetryBudget {
	let fromSuccesses = 0;
	let fromFloor = ratio > 0 ? Math.min(1, minRetriesPerSecond) : 0;
	let refilledAtMs = timers.getNowMs();

	function refillFloor(): void {
		const nowMs = timers.getNowMs();
		const refill = ratio > 0 ? (nowMs - refilledAtMs) / 1000 * minRetriesPerSecond : 0;
		fromFloor = Math.min(mostRetriesFromFloor, fromFloor + refill);
		refilledAtMs = nowMs;
	}

	function addSuccess(): void {
		fromSuccesses = Math.min(mostRetriesFromSuccesses, fromSuccesses + ratio);
	}

	function takeRetry(): boolean {
		refillFloor();
		if (fromSuccesses + fromFloor < 1) {
			return false;
		}

		const takenFromSuccesses = Math.min(1, fromSuccesses);
		fromSuccesses -= takenFromSuccesses;
		fromFloor -= 1 - takenFromSuccesses;
		return true;
	}

	return {addSuccess, takeRetry};
}
