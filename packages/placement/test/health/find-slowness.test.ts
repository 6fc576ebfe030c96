import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findPace, isRestartSooner, type RunProgress} from '../../src/health/find-slowness.js';

/** What follows from the pace: a run is stopped if it is stuck, or if it is slow and a new run would end sooner. */
function getAction(progress: RunProgress): 'stuck' | 'slow' | undefined {
	const pace = findPace(progress);
	return pace === 'stuck' || (pace === 'slow' && isRestartSooner(progress, 1)) ? pace : undefined;
}

describe('findPace', () => {
	const rows = [
		{
			title: 'a run too short to assess', progress: {
				runningMs: 90, percent: 0, expectedMs: 60, siblingMs: [], rate: 1,
			}, expected: undefined,
		},
		{
			title: 'no progress when half was expected', progress: {
				runningMs: 130, percent: 0, expectedMs: 200, siblingMs: [], rate: 1,
			}, expected: 'stuck',
		},
		{
			title: 'no progress yet in a long task', progress: {
				runningMs: 200, percent: 0, expectedMs: 2000, siblingMs: [], rate: 1,
			}, expected: undefined,
		},
		{
			title: 'as slow as its siblings', progress: {
				runningMs: 300, percent: 20, expectedMs: 200, siblingMs: [1400, 1500], rate: 1,
			}, expected: undefined,
		},
		{
			title: 'five times slower than its siblings', progress: {
				runningMs: 300, percent: 12, expectedMs: 200, siblingMs: [480, 500], rate: 1,
			}, expected: 'slow',
		},
		{
			title: 'at a speed of 0.7, siblings at one of 1.7 that is not known yet', progress: {
				runningMs: 300, percent: 25, expectedMs: 200, siblingMs: [480, 500], rate: 1,
			}, expected: undefined,
		},
		{
			title: 'five times slower than its siblings, as far as its speed and the distance explain', progress: {
				runningMs: 300, percent: 12, expectedMs: 200, siblingMs: [480, 500], rate: 0.25,
			}, expected: undefined,
		},
		{
			title: 'twice as long as expected, without siblings', progress: {
				runningMs: 200, percent: 50, expectedMs: 200, siblingMs: [], rate: 1,
			}, expected: undefined,
		},
		{
			title: 'five times as long as expected, without siblings', progress: {
				runningMs: 200, percent: 20, expectedMs: 200, siblingMs: [], rate: 1,
			}, expected: 'slow',
		},
		{
			title: 'slow but nearly complete', progress: {
				runningMs: 900, percent: 90, expectedMs: 200, siblingMs: [], rate: 1,
			}, expected: undefined,
		},
	] as const;
	for (const {title, progress, expected} of rows) {
		it(`${title} → ${expected ?? 'no action'}`, () => {
			assert.equal(getAction(progress), expected);
		});
	}
});
