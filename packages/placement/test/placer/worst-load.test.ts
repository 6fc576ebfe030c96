import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {replayLoad} from '../support/load-replay.js';

describe('a placer whose load is at its worst', () => {
	const rows = [
		{load: 0.75, minEarnedShare: 0.95},
		{load: 0.9, minEarnedShare: 0.9},
		{load: 1.1, minEarnedShare: 0.75},
		{load: 1.4, minEarnedShare: 0.65},
	];
	for (const {load, minEarnedShare} of rows) {
		it(`serves ${minEarnedShare} of the worth in time at a load of ${load}, and tells callers of refusals within their objective`, async () => {
			const {earnedShare, test} = await replayLoad({load});
			assert.ok(earnedShare >= minEarnedShare, `served ${earnedShare}`);
			const refusals = test.events.events.flatMap(({name, fields}) => (name === 'job-ended' && fields.outcome === 'refused' ? [fields] : []));
			const lateRefusals = refusals.filter(({ageMs, objectiveMs}) => Number(ageMs) > Number(objectiveMs));
			assert.deepEqual(lateRefusals, []);
			assert.ok(test.fleet.getPeakUtilization() <= 1);
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}
});
