import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestPlacer, type TestPlacer} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

type Case = {
	name: string;
	/** The submissions, each by its own entry daemon and of the same id, in the order of their arrival. */
	submissions: string[];
	act: (test: TestPlacer) => void;
	/** The entry daemon that is told `completed`; undefined if the job is stopped. */
	completedAt: string | undefined;
};

const cases: Case[] = [
	{
		name: 'the callers of the only submission',
		submissions: ['first'],
		act({placer}) {
			placer.withdraw('job', 'first');
		},
		completedAt: undefined,
	},
	{
		name: 'the callers of the earlier submission',
		submissions: ['first', 'second'],
		act({placer}) {
			placer.withdraw('job', 'first');
		},
		completedAt: 'second',
	},
	{
		name: 'the callers of the later submission',
		submissions: ['first', 'second'],
		act({placer}) {
			placer.withdraw('job', 'second');
		},
		completedAt: 'first',
	},
	{
		name: 'the callers of a submission that the placer has not received',
		submissions: ['first'],
		act({placer}) {
			placer.withdraw('job', 'other');
		},
		completedAt: 'first',
	},
	{
		name: 'the callers of both submissions',
		submissions: ['first', 'second'],
		act({placer}) {
			placer.withdraw('job', 'first');
			placer.withdraw('job', 'second');
		},
		completedAt: undefined,
	},
	{
		name: 'the callers of the later submission, after the entry daemon of the earlier one has timed out,',
		submissions: ['first', 'second'],
		act({placer}) {
			placer.endJobsOfEntry('first');
			placer.withdraw('job', 'second');
		},
		completedAt: undefined,
	},
];

describe('createPlacer, when callers leave', () => {
	// Guards against a caller who came again through another daemon and is told `failed` because its broken connection was noticed late.
	for (const {name, submissions, act, completedAt} of cases) {
		it(`${completedAt === undefined ? 'stops' : 'goes on with'} the job when ${name} have left`, async () => {
			const test = createTestPlacer({getDurationMs: () => 250});
			await runFor(test.timers, 10);
			for (const id of submissions) {
				test.submit({jobId: 'job'}, {entryId: id, submissionId: id});
				// eslint-disable-next-line no-await-in-loop -- Virtual time advances step by step.
				await runFor(test.timers, 50);
			}

			act(test);
			await runFor(test.timers, 700);
			assert.deepEqual(test.results.get('job'), completedAt === undefined ? undefined : {outcome: 'completed'});
			assert.equal(test.resultEntryIds.get('job'), completedAt);
			const outcome = completedAt === undefined ? 'stopped' : 'done';
			assert.deepEqual(test.fleet.records.map(record => record.outcome), [outcome, outcome]);
		});
	}

	// Guards against jobs that end as unknown with the daemon of an earlier submission, although another caller waits for them.
	it('goes on with a job when only the entry daemon of one of its submissions has timed out', async () => {
		const test = createTestPlacer({getDurationMs: () => 250});
		await runFor(test.timers, 10);
		test.submit({jobId: 'job'}, {entryId: 'first', submissionId: 'first'});
		test.submit({jobId: 'job'}, {entryId: 'second', submissionId: 'second'});
		await runFor(test.timers, 50);
		assert.equal(test.placer.endJobsOfEntry('second'), 0);
		await runFor(test.timers, 700);
		assert.deepEqual(test.results.get('job'), {outcome: 'completed'});
		assert.equal(test.resultEntryIds.get('job'), 'first');
	});

	// Guards against `failed` for a caller whose daemon was not heard for a while, so that nobody seemed to wait for its job.
	it('tells a submission that asks for a job abandoned meanwhile that its result is unknown, and runs a new one', async () => {
		const test = createTestPlacer({getDurationMs: () => 200});
		await runFor(test.timers, 10);
		test.submit({jobId: 'job'}, {entryId: 'first', submissionId: 'first'});
		test.submit({jobId: 'job'}, {entryId: 'second', submissionId: 'second'});
		test.placer.endJobsOfEntry('first');
		test.placer.withdraw('job', 'second');
		test.submit({jobId: 'job'}, {entryId: 'first', submissionId: 'first'});
		assert.deepEqual(test.results.get('job'), {outcome: 'unknown'});
		test.submit({jobId: 'job'}, {entryId: 'third', submissionId: 'third'});
		await runFor(test.timers, 900);
		assert.deepEqual(test.results.get('job'), {outcome: 'completed'});
	});
});
