import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {formatTotals, type ReplaySummary} from './summarize-replay.js';

const quiet: ReplaySummary = {
	seed: 11, overlaps: [], lateStarts: [], sharedTerms: 0, outcomes: {completed: 90, unknown: 10},
};

// Guards against totals that leave out a seed with a finding, or one whose replay did not complete.
describe('formatTotals', () => {
	it('names the seeds with findings in order, and adds up outcomes and shared terms', () => {
		const totals = formatTotals([
			quiet,
			{
				...quiet, seed: 10, overlaps: ['one', 'two'], sharedTerms: 2,
			},
			{
				...quiet, seed: 9, overlaps: ['one'], lateStarts: ['late'],
			},
			{
				...quiet, seed: 8, outcomes: {refused: 100}, sharedTerms: 1,
			},
			{
				...quiet, seed: 7, outcomes: {}, error: 'Error: odd',
			},
		]);
		assert.deepEqual(totals.split('\n'), [
			'replays: 5',
			'seeds with overlaps: 2 (9 10)',
			'seeds with late starts: 1 (9)',
			'seeds that ended with an error: 1 (7)',
			'jobs: 400; completed 270 (67.5%), refused 100 (25.0%), unknown 30 (7.5%)',
			'shared terms: 3',
		]);
	});
});
