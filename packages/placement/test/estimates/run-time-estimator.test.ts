import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRunTimeEstimator} from '../../src/estimates/run-time-estimator.js';

describe('createRunTimeEstimator', () => {
	const rows = [
		{
			title: 'no runs', runs: 0, declaredMs: 300, expectedMs: 300,
		},
		{
			title: 'one run', runs: 1, declaredMs: 400, expectedMs: 386,
		},
		{
			title: 'many runs', runs: 100, declaredMs: 400, expectedMs: 200,
		},
		{
			title: 'many runs and no declaration', runs: 100, declaredMs: 0, expectedMs: 100,
		},
	];
	for (const {title, runs, declaredMs, expectedMs} of rows) {
		it(`${title}: declared ${declaredMs} ms, runs of 100 ms → ${expectedMs} ms`, () => {
			const estimator = createRunTimeEstimator();
			for (let count = 0; count < runs; count++) {
				estimator.addRun('queue', 100);
			}

			assert.equal(Math.round(estimator.getExpectedMs('queue', declaredMs)), expectedMs);
		});
	}
});
