import {describe, it} from 'node:test';
import {runConsensusSchedules} from './support/run-consensus-schedules.js';

describe('consensus under random schedules', () => {
	it('keeps what it promises in 60 schedules', () => {
		runConsensusSchedules(60, 20_261);
	});
});
