import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {countSeparateSuspects} from '../../src/crashes/count-separate-suspects.js';

describe('countSeparateSuspects', () => {
	const rows: Array<{title: string; suspects: Array<[taskName: string, atMs: number]>; expected: number}> = [
		{title: 'none', suspects: [], expected: 0},
		{title: 'three tasks at different times', suspects: [['a', 0], ['b', 100], ['c', 300]], expected: 3},
		{title: 'three tasks at the same moment', suspects: [['a', 0], ['b', 4], ['c', 9]], expected: 1},
		{title: 'a series of crashes that are each close to the one before', suspects: [['a', 0], ['b', 10], ['c', 20], ['d', 30]], expected: 1},
		{title: 'one task three times', suspects: [['a', 0], ['a', 100], ['a', 300]], expected: 1},
	];
	for (const {title, suspects, expected} of rows) {
		it(`${title} → ${expected}`, () => {
			const runs = suspects.map(([taskName, atMs]) => ({
				taskName, serverId: 'server-1', bornMs: 1, atMs,
			}));
			assert.equal(countSeparateSuspects(runs), expected);
		});
	}
});
