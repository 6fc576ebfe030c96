import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findViolation, runRegisterSchedules} from './support/register-schedules.js';
import type {InjectedFault} from './support/register-simulation.js';

const seed = 20_261_203;

describe('the job register under random schedules', () => {
	it(`upholds its guarantees in 500 schedules (seed ${seed})`, () => {
		runRegisterSchedules(500, seed);
	});

	const faults: Array<{fault: InjectedFault; expected: RegExp}> = [
		{fault: 'sync-ignored', expected: /started \d times/v},
		{fault: 'epoch-ignored', expected: /started \d times/v},
		{fault: 'table-copied', expected: /started \d times/v},
		{fault: 'scope-widened', expected: /not to have run/v},
		{fault: 'outcomes-forgotten', expected: /got 0 answers/v},
	];
	for (const {fault, expected} of faults) {
		it(`detects the injected fault ${fault}`, () => {
			assert.match(findViolation(fault, expected, 200, seed) ?? 'nothing', expected);
		});
	}
});
