/** Bounds retries to a ratio of successes. */
export type RetryBudget = {
	addSuccess(): void;
	/** Takes one retry from the budget; false if it is used up. */
	takeRetry(): boolean;
};
