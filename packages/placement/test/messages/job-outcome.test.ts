import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	decodeOutcome, encodeOutcome, wireOutcomeSchema, type JobOutcome, type WireOutcome,
} from '../../src/index.js';

describe('decodeOutcome', () => {
	const rows: Array<{title: string; wireOutcome: WireOutcome; expected: JobOutcome}> = [
		{title: 'a job of which a task has failed', wireOutcome: {outcome: 'failed', reason: 'attempts-used'}, expected: {outcome: 'failed', reason: 'attempts-used'}},
		{title: 'a job that a caller has cancelled', wireOutcome: {outcome: 'failed', reason: 'cancelled', isForAll: true}, expected: {outcome: 'failed', reason: 'cancelled'}},
		// Guards against a job that is shown as failed since a placer of an earlier version cancels for all what one caller has left.
		{title: 'a cancellation by a placer of an earlier version', wireOutcome: {outcome: 'failed', reason: 'cancelled'}, expected: {outcome: 'unknown'}},
	];
	for (const {title, wireOutcome, expected} of rows) {
		it(`${title} → ${expected.outcome}`, () => {
			assert.deepEqual(decodeOutcome(wireOutcomeSchema.parse(wireOutcome)), expected);
		});
	}

	it('reads what encodeOutcome writes', () => {
		const outcomes: JobOutcome[] = [
			{outcome: 'completed'}, {outcome: 'unknown'}, {outcome: 'failed', reason: 'attempts-used'}, {outcome: 'failed', reason: 'cancelled'},
		];
		assert.deepEqual(outcomes.map(outcome => decodeOutcome(wireOutcomeSchema.parse(encodeOutcome(outcome)))), outcomes);
	});
});
