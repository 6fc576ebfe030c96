import type {TimerService} from '@camphortack/core';

/** Limits retries to a ratio of successes. */
export type RetryBudget = {
	addSuccess(): void;
	/** Takes one retry from the budget; false if the budget is exhausted. */
	takeRetry(): boolean;
};

export type RetryBudgetOptions = {
	timers: TimerService;
	/** Retries allowed per success; 0 disables retries. */
	ratio: number;
	/** Retries allowed per second regardless of successes. */
	minRetriesPerSecond?: number;
};

const defaultMinRetriesPerSecond = 0.5;
/** The maximum number of retries that accumulate over time, regardless of successes. */
const maxBaseTokens = 5;
/** The maximum number of retries that accumulate from successes. */
const maxSuccessTokens = 50;

/**
 * Creates a token bucket for retries. Each success adds `ratio` tokens, and a small number is added over time.
 *
 * @example
 * ```ts
 * const budget = createRetryBudget({timers, ratio: 0.1});
 * if (budget.takeRetry()) {
 * 	requeue(task);
 * }
 * ```
 */
export function createRetryBudget({timers, ratio, minRetriesPerSecond = defaultMinRetriesPerSecond}: RetryBudgetOptions): RetryBudget {
	let successTokens = 0;
	let baseTokens = ratio > 0 ? Math.min(1, minRetriesPerSecond) : 0;
	let refilledAtMs = timers.getNowMs();

	function refillBaseTokens(): void {
		const nowMs = timers.getNowMs();
		const refill = ratio > 0 ? (nowMs - refilledAtMs) / 1000 * minRetriesPerSecond : 0;
		baseTokens = Math.min(maxBaseTokens, baseTokens + refill);
		refilledAtMs = nowMs;
	}

	function addSuccess(): void {
		successTokens = Math.min(maxSuccessTokens, successTokens + ratio);
	}

	function takeRetry(): boolean {
		refillBaseTokens();
		if (successTokens + baseTokens < 1) {
			return false;
		}

		const takenSuccessTokens = Math.min(1, successTokens);
		successTokens -= takenSuccessTokens;
		baseTokens -= 1 - takenSuccessTokens;
		return true;
	}

	return {addSuccess, takeRetry};
}
