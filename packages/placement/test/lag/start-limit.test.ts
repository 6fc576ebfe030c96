import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getNextStartLimit, getStartWaitMs, type StartLimitState} from '../../src/lag/start-limit.js';

const unlimited = Number.POSITIVE_INFINITY;
const keepingUp: StartLimitState = {
	startLimit: unlimited, startsInFlight: 200, lagMs: 0, sinceReducedMs: unlimited, sinceNeededMs: unlimited,
};

describe('getNextStartLimit', () => {
	// Guards against a limit without lag, one that falls to nothing, and one that remains.
	const rows: Array<{title: string; state: Partial<StartLimitState>; expected: number}> = [
		{title: 'a placer that keeps up', state: {}, expected: unlimited},
		{title: 'lag that does not make requests go unanswered', state: {lagMs: 20}, expected: unlimited},
		{title: 'lag', state: {lagMs: 25, sinceNeededMs: 0}, expected: 160},
		{title: 'much lag', state: {lagMs: 150, sinceNeededMs: 0}, expected: 100},
		{title: 'lag with few starts in flight', state: {startsInFlight: 2, lagMs: 150, sinceNeededMs: 0}, expected: 8},
		{
			title: 'lag just after a reduction', state: {
				startLimit: 40, startsInFlight: 40, lagMs: 30, sinceReducedMs: 29,
			}, expected: 40,
		},
		{
			title: 'lag a response time after a reduction', state: {
				startLimit: 40, startsInFlight: 40, lagMs: 40, sinceReducedMs: 40,
			}, expected: 20,
		},
		{title: 'no more lag, all in use', state: {startLimit: 10, startsInFlight: 10, sinceNeededMs: 0}, expected: 10.1},
		{title: 'no more lag, not all in use', state: {startLimit: 10, startsInFlight: 4, sinceNeededMs: 500}, expected: 10},
		{title: 'not needed for a second', state: {startLimit: 10, startsInFlight: 4, sinceNeededMs: 1000}, expected: unlimited},
	];
	for (const {title, state, expected} of rows) {
		it(`${title} → ${expected}`, () => {
			assert.equal(getNextStartLimit({...keepingUp, ...state}), expected);
		});
	}
});

describe('getStartWaitMs', () => {
	// Guards against refusals by a placer that can start the job in time.
	const rows = [
		{
			title: 'no limit', state: {startLimit: unlimited, startsInFlight: 300, responseMs: 2}, startCount: 500, expectedMs: 0,
		},
		{
			title: 'starts that may be sent now', state: {startLimit: 10, startsInFlight: 4, responseMs: 20}, startCount: 6, expectedMs: 0,
		},
		{
			title: 'a round of starts ahead', state: {startLimit: 10, startsInFlight: 10, responseMs: 20}, startCount: 10, expectedMs: 20,
		},
		{
			title: 'more in flight than the limit', state: {startLimit: 10, startsInFlight: 40, responseMs: 20}, startCount: 5, expectedMs: 10,
		},
	];
	for (const {title, state, startCount, expectedMs} of rows) {
		it(`${title} → ${expectedMs} ms`, () => {
			assert.equal(getStartWaitMs(state, startCount), expectedMs);
		});
	}
});
