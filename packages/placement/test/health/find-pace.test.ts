import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findPace, isRestartSooner, type RunProgress} from '../../src/health/find-pace.js';

/** What follows from the pace: a run is stopped if it is stuck, or if it is slow and a new run would end sooner. */
function getAction(progress: RunProgress): 'stuck' | 'slow' | undefined {
	const pace = findPace(progress);
	return pace === 'stuck' || (pace === 'slow' && isRestartSooner(progress, 1)) ? pace : undefined;
}

describe('findPace', () => {
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
		{
			title: 'at a known speed of 0.7, siblings at one of 1.7', progress: {
				runningMs: 300, percent: 20, expectedMs: 200, siblingMs: [480, 500], rate: 0.7,
			}, expected: undefined,
		},
		{
			title: 'five times slower than its siblings and its known speed of 0.7', progress: {
				runningMs: 300, percent: 8, expectedMs: 200, siblingMs: [480, 500], rate: 0.7,
			}, expected: 'slow',
		},
		{
			title: 'at a known speed of 1.7, three times slower than that, so that a new run would hardly end sooner', progress: {
				runningMs: 300, percent: 34, expectedMs: 200, siblingMs: [480, 500], rate: 1.7,
			}, expected: undefined,
		},
		{
			title: 'at a known speed of 1.7, five times slower than that', progress: {
				runningMs: 300, percent: 20, expectedMs: 200, siblingMs: [480, 500], rate: 1.7,
			}, expected: 'slow',
		},
	] as const;
	for (const {title, progress, expected} of rows) {
		it(`${title} → ${expected ?? 'no action'}`, () => {
			assert.equal(getAction({rate: 1, ...progress}), expected);
		});
	}

	// Guards against a healthy backend server that stays suspected because its runs are never found to keep their pace.
	const paces = [
		{
			runningMs: 80, percent: 30, rate: 1, expected: 'normal',
		},
		{
			runningMs: 80, percent: 30, rate: 1.7, expected: undefined,
		},
		{
			runningMs: 80, percent: 9, rate: 1, expected: undefined,
		},
		{
			runningMs: 300, percent: 30, rate: 0.3, expected: 'normal',
		},
	];
	for (const {expected, ...progress} of paces) {
		it(`${progress.percent}% after ${progress.runningMs} ms of 200 ms at a rate of ${progress.rate} → ${expected ?? 'unclear'}`, () => {
			assert.equal(findPace({...progress, expectedMs: 200, siblingMs: []}), expected);
		});
	}
});
