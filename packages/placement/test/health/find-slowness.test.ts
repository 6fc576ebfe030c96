import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findSlowness} from '../../src/health/find-slowness.js';

describe('findSlowness', () => {
	const rows = [
		{
			title: 'a run too short to assess', progress: {
				runningMs: 90, percent: 0, expectedMs: 60, siblingMs: [],
			}, expected: undefined,
		},
		{
			title: 'no progress when half was expected', progress: {
				runningMs: 130, percent: 0, expectedMs: 200, siblingMs: [],
			}, expected: 'stuck',
		},
		{
			title: 'no progress yet in a long task', progress: {
				runningMs: 200, percent: 0, expectedMs: 2000, siblingMs: [],
			}, expected: undefined,
		},
		{
			title: 'as slow as its siblings', progress: {
				runningMs: 300, percent: 20, expectedMs: 200, siblingMs: [1400, 1500],
			}, expected: undefined,
		},
		{
			title: 'three times slower than its siblings', progress: {
				runningMs: 300, percent: 20, expectedMs: 200, siblingMs: [480, 500],
			}, expected: 'slow',
		},
		{
			title: 'twice as long as expected, without siblings', progress: {
				runningMs: 200, percent: 50, expectedMs: 200, siblingMs: [],
			}, expected: undefined,
		},
		{
			title: 'five times as long as expected, without siblings', progress: {
				runningMs: 200, percent: 20, expectedMs: 200, siblingMs: [],
			}, expected: 'slow',
		},
		{
			title: 'slow but nearly complete', progress: {
				runningMs: 900, percent: 90, expectedMs: 200, siblingMs: [],
			}, expected: undefined,
		},
	] as const;
	for (const {title, progress, expected} of rows) {
		it(`${title} → ${expected ?? 'no action'}`, () => {
			assert.equal(findSlowness(progress), expected);
		});
	}
});
