import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getMostSuspects} from '../../src/crashes/get-most-suspects.js';

describe('getMostSuspects', () => {
	const rows: Array<{title: string; timesMs: number[]; expected: number}> = [
		{title: 'no crash', timesMs: [], expected: 0},
		{title: 'crashes far apart', timesMs: [0, 4000, 8000], expected: 1},
		{title: 'a burst before rare crashes', timesMs: [0, 100, 200, 4000, 8000], expected: 3},
		{title: 'a burst that begins later', timesMs: [0, 2900, 3100, 5800], expected: 3},
	];
	for (const {title, timesMs, expected} of rows) {
		it(`${title} → ${expected}`, () => {
			const suspects = timesMs.map((atMs, position) => ({
				taskName: `job-${position}.0.0.0`, serverId: 'server-1', bornMs: 1, atMs,
			}));
			assert.equal(getMostSuspects(suspects, 3000), expected);
		});
	}
});
