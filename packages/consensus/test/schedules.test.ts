import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findConsensusFailure, runConsensusSchedules} from './support/run-consensus-schedules.js';

describe('consensus under random schedules', () => {
	it('holds its invariants in 60 schedules', () => {
		runConsensusSchedules(60, 20_261);
	});

	it('is reported as failing with logs that acknowledge before they sync', () => {
		assert.match(findConsensusFailure('acknowledges-before-sync', 12, 2) ?? '', /committed different entries/v);
	});
});
