import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getTurnoverMs, type RunningWork} from '../../src/queue/get-turnover-ms.js';

describe('getTurnoverMs', () => {
	const cases: Array<{name: string; running: RunningWork[]; expected: number}> = [
		{name: 'nothing runs', running: [], expected: 0},
		{name: 'one kind', running: [{millicores: 64_000, runMs: 200}], expected: 200},
		{name: 'long and short tasks', running: [{millicores: 32_000, runMs: 900}, {millicores: 32_000, runMs: 60}], expected: 112.5},
		{name: 'few long tasks', running: [{millicores: 1000, runMs: 900}, {millicores: 9000, runMs: 100}], expected: 109.8},
		{name: 'an estimate of nothing', running: [{millicores: 1000, runMs: 0}], expected: 1},
	];
	for (const {name, running, expected} of cases) {
		it(`${name} → ${expected} ms`, () => {
			assert.equal(Number(getTurnoverMs(running).toFixed(1)), expected);
		});
	}
});
