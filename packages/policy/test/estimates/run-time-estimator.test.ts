import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {createRunTimeEstimator} from '../../src/index.js';

function assertNear(actual: number | undefined, expected: number): void {
	assert.ok(actual !== undefined && Math.abs(actual - expected) <= expected * 0.02, `${actual} is not near ${expected}`);
}

describe('createRunTimeEstimator', () => {
	for (const [declaredRunTimeMs, realRunTimeMs] of [[100, 1000], [1000, 100]] as const) {
		it(`estimates ${realRunTimeMs} ms from samples where ${declaredRunTimeMs} ms are declared`, () => {
			const estimator = createRunTimeEstimator({timers: new VirtualTimers()});
			for (let sample = 0; sample < 29; sample++) {
				estimator.addSample('pricing', realRunTimeMs);
			}

			assert.equal(estimator.getExpectedRunTimeMs('pricing', declaredRunTimeMs), declaredRunTimeMs);
			assert.equal(estimator.findQuantileMs('pricing', 0.5), undefined);
			estimator.addSample('pricing', realRunTimeMs);
			assertNear(estimator.getExpectedRunTimeMs('pricing', declaredRunTimeMs), realRunTimeMs);
			assertNear(estimator.findQuantileMs('pricing', 0.5), realRunTimeMs);
		});
	}

	it('discards samples older than two windows', () => {
		const timers = new VirtualTimers();
		const estimator = createRunTimeEstimator({timers});
		for (const durationMs of [50, 500, 500, 500]) {
			for (let sample = 0; sample < 40; sample++) {
				estimator.addSample('pricing', durationMs);
			}

			timers.advance(60_000);
		}

		assertNear(estimator.getExpectedRunTimeMs('pricing', 1), 500);
		assertNear(estimator.findQuantileMs('pricing', 0.01), 500);
	});

	it('counts the samples of a full window without overflow', () => {
		const estimator = createRunTimeEstimator({timers: new VirtualTimers()});
		for (let sample = 0; sample < 100_000; sample++) {
			estimator.addSample('pricing', sample % 10 === 0 ? 2000 : 100);
		}

		assertNear(estimator.findQuantileMs('pricing', 0.5), 100);
		assertNear(estimator.findQuantileMs('pricing', 0.95), 2000);
	});
});
