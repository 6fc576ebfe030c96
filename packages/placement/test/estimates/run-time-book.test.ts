import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRunTimeBook} from '../../src/estimates/run-time-book.js';

describe('createRunTimeBook', () => {
	const rows = [
		{
			title: 'nothing known', runs: 0, declaredMs: 300, expectedMs: 300,
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
			const book = createRunTimeBook();
			for (let count = 0; count < runs; count++) {
				book.addRun('queue', 100);
			}

			assert.equal(Math.round(book.getExpectedMs('queue', declaredMs)), expectedMs);
		});
	}
});
