import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {createRetryBudget} from '../../src/index.js';

describe('createRetryBudget', () => {
	for (const [name, ratio, successes, waitMs, expectedRetries] of [
		['a ratio of successes', 0.1, 300, 0, 30],
		['no more than the accumulated maximum', 0.1, 10_000, 0, 50],
		['the minimum rate after a time without successes', 0.1, 0, 4000, 2],
		['none if the ratio is 0', 0, 1000, 60_000, 0],
	] as const) {
		it(`allows ${name}`, () => {
			const timers = new VirtualTimers();
			const budget = createRetryBudget({timers, ratio, minRetriesPerSecond: 0.5});
			for (let success = 0; success < successes; success++) {
				budget.addSuccess();
			}

			timers.advance(waitMs);
			let retries = 0;
			while (budget.takeRetry()) {
				retries++;
			}

			assert.equal(retries, expectedRetries);
		});
	}
});
