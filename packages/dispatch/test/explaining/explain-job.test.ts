import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Job} from '@camphortack/core';
import type {JobExplanation} from '../../src/index.js';
import {createTestAnnouncement, createTestDispatcher, type TestDispatcher} from '../support/create-test-dispatcher.js';

type Summary = [refusal: string | undefined, waitMs: number | undefined, candidates: string[], excluded: JobExplanation['excluded']];

function explain({dispatcher}: TestDispatcher, job: Partial<Job> = {}): JobExplanation {
	return dispatcher.explainJob({
		id: 'where', customer: 'chain', service: 'price', deadlineMs: 10_000, idempotent: false, tasks: [{payload: 1}], ...job,
	});
}

function summarize({refusal, expectedWaitMs, candidates, excluded}: JobExplanation): Summary {
	return [
		refusal,
		expectedWaitMs,
		candidates.map(({id, expectedCompletionMs, exclusion}) => [id, expectedCompletionMs, ...(exclusion === undefined ? [] : [exclusion])].join(' ')),
		excluded,
	];
}

describe('explainJob', () => {
	const both = ['server-1 100', 'server-2 100'];
	const rows: Array<{title: string; job?: Partial<Job>; prepare?: (test: TestDispatcher) => void; expected: Summary}> = [
		{title: 'idle backend servers', expected: [undefined, 0, both, {}]},
		{title: 'an unknown service', job: {service: 'other'}, expected: ['unknown-service', undefined, [], {}]},
		{title: 'an unknown customer', job: {customer: 'other'}, expected: ['unknown-customer', 0, both, {}]},
		{
			title: 'a task that is too large',
			job: {tasks: [{payload: 1, needs: {processors: 65}}]},
			expected: ['never-fits', undefined, [], {'too-small': 2}],
		},
		{
			title: 'a backend server that is leaving',
			prepare({dispatcher}) {
				dispatcher.drainBackendServer('server-1');
			},
			expected: [undefined, 0, ['server-2 100'], {leaving: 1}],
		},
		{
			title: 'an evacuated availability zone without other daemons',
			prepare({dispatcher}) {
				dispatcher.setClosedZones(['zone-a']);
			},
			expected: ['no-backend-server', undefined, [], {evacuated: 2}],
		},
		{
			title: 'a backend server of another service',
			prepare({dispatcher}) {
				dispatcher.announceBackendServer(createTestAnnouncement('server-3', {services: ['other']}));
			},
			expected: [undefined, 0, both, {'other-pool': 1}],
		},
		{
			title: 'busy slots and a queue',
			prepare({submit}) {
				submit({id: 'busy'}, 24);
			},
			expected: [undefined, 56.25, ['server-1 156 no-free-slot', 'server-2 156 no-free-slot'], {'no-free-slot': 2}],
		},
	];
	for (const {title, job, prepare, expected} of rows) {
		it(`${title} → ${expected[0] ?? 'accepted'}`, () => {
			const test = createTestDispatcher();
			prepare?.(test);
			assert.deepEqual(summarize(explain(test, job)), expected);
		});
	}

	it('names the backend server that takes the task', () => {
		const test = createTestDispatcher();
		const [first] = explain(test).candidates;
		test.submit({id: 'job'});
		assert.equal(test.starter.batches[0]?.serverId, first?.id);
	});

	// Guards against an explanation that uses up a limit or a trial, or that starts the job.
	it('changes nothing', () => {
		const test = createTestDispatcher();
		const before = JSON.stringify(test.dispatcher.getStatus());
		explain(test);
		test.timers.advance(1000);
		assert.equal(JSON.stringify(test.dispatcher.getStatus()), before);
		assert.deepEqual([test.limitCalls, test.starter.batches], [[], []]);
	});
});
