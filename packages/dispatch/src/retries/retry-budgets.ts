import type {TimerService} from '@camphortack/core';
import {createRetryBudget, type RetryBudget} from '@camphortack/policy';

/** The retry budget of each service. */
export type RetryBudgets = {
	getRetryBudget(service: string): RetryBudget;
	/** Discards the budgets, so that new ones use the ratios that are declared now. */
	clear(): void;
};

/**
 * Creates the retry budgets.
 * @param timers - The clock.
 * @param getRatio - Gets the declared number of retries that a service is allowed per success.
 */
export function createRetryBudgets(timers: TimerService, getRatio: (service: string) => number): RetryBudgets {
	const budgets = new Map<string, RetryBudget>();
	return {
		getRetryBudget(service) {
			let budget = budgets.get(service);
			if (budget === undefined) {
				budget = createRetryBudget({timers, ratio: getRatio(service)});
				budgets.set(service, budget);
			}

			return budget;
		},
		clear() {
			budgets.clear();
		},
	};
}
