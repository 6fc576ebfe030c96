import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {JobOutcome} from '@camphortack/placement';
import {
	createTestSubmitter, refusal, submit, type TestSubmitter,
} from '../support/create-test-submitter.js';

const remainingMs = 5500;

function getRemainingTimes({sent}: TestSubmitter): Array<number | undefined> {
	return sent.flatMap(message => (message.kind === 'placement.open-jobs' ? [message.remainingMs] : []));
}

describe('createJobSubmitter, when its daemon is being stopped', () => {
	// Guards against one message that is lost: the time follows from each list.
	it('says in each list for how long callers get answers', () => {
		const test = createTestSubmitter();
		submit(test);
		test.timers.advance(200);
		test.submitter.startLeaving(remainingMs);
		test.timers.advance(400);
		assert.deepEqual(getRemainingTimes(test), [undefined, remainingMs, remainingMs - 200, remainingMs - 400]);
	});

	it('says nothing if the time is not limited', () => {
		const test = createTestSubmitter();
		submit(test);
		test.submitter.startLeaving(undefined);
		test.timers.advance(200);
		assert.deepEqual(getRemainingTimes(test), [undefined, undefined]);
	});

	it('reports the refusal of a job that cannot be served in time, and forwards it nowhere', () => {
		const test = createTestSubmitter(true);
		test.shards.updateOtherShard('south', {term: 1, placerId: 'other'}, 0);
		submit(test);
		test.submitter.startLeaving(remainingMs);
		const stopping: JobOutcome = {outcome: 'refused', reason: 'stopping', retryAfterMs: 1000};
		test.handleResult(stopping);
		assert.deepEqual(test.results, [stopping]);
	});

	// Guards against callers whose connections end without an answer.
	const ends: Array<{title: string; prepare: (test: TestSubmitter) => void; expected: Array<JobOutcome['outcome']>}> = [
		{
			title: 'a job at the placer',
			prepare(test) {
				submit(test);
			},
			expected: ['unknown'],
		},
		{
			title: 'a job that was sent to no placer',
			prepare(test) {
				test.setOverdue(true);
				submit(test);
			},
			expected: ['refused'],
		},
		{
			title: 'a job that was answered before',
			prepare(test) {
				submit(test);
				test.handleResult(refusal);
			},
			expected: ['refused'],
		},
	];
	for (const {title, prepare, expected} of ends) {
		it(`${title} → ${expected.join(', ')} at the end`, () => {
			const test = createTestSubmitter();
			prepare(test);
			test.submitter.stop();
			assert.deepEqual(test.results.map(({outcome}) => outcome), expected);
		});
	}
});
