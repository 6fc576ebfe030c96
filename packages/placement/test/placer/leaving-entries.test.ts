import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {JobStep} from '../../src/index.js';
import {createTestPlacer, defaultRequest} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

const largeStep: JobStep = {...defaultRequest.steps[0]!, taskCount: 1, cpuMillicores: 40_000};
const longMs = 9000;
const remainingMs = 5500;

/** Creates a placer with one backend server, which runs a task of another entry daemon for a time. */
async function createBusyPlacer(runMs: number) {
	const test = createTestPlacer({
		serverCount: 1, getMillicores: () => 40_000, getDurationMs: name => (name.startsWith('other') ? runMs : 200),
	});
	await runFor(test.timers, 10);
	test.submit({
		jobId: 'other', steps: [{...largeStep, estimateMs: runMs}], callerTimeoutMs: 15_000, slackMs: 15_000,
	}, {entryId: 'other'});
	await runFor(test.timers, 700);
	return test;
}

describe('a placer whose entry daemon is being stopped', () => {
	const job = {
		jobId: 'job', steps: [{...largeStep, estimateMs: 8000}], callerTimeoutMs: 15_000, slackMs: 15_000,
	};
	const rows: Array<{title: string; runMs: number; expected: Array<[atMs: number, outcome: string | undefined]>}> = [
		{title: 'no room before the end', runMs: longMs, expected: [[20, 'refused']]},
		{title: 'room in time', runMs: 3000, expected: [[20, undefined], [2000, undefined], [3000, 'completed']]},
		// The progress is known to a percent, so that the run may end in time: the job waits until its last possible start.
		{title: 'room too late, by little', runMs: 5900, expected: [[20, undefined], [5200, 'refused']]},
	];
	for (const {title, runMs, expected} of rows) {
		// Guards against jobs that wait for the whole grace period although they cannot be served, and against refusals of those that can.
		it(`${title} → ${expected.map(([atMs, outcome]) => `${outcome ?? 'open'} after ${atMs} ms`).join(', ')}`, async () => {
			const {timers, placer, submit, results} = await createBusyPlacer(runMs);
			submit(job);
			placer.setEntryRemainingMs({entryId: 'entry', incarnation: undefined}, remainingMs);
			const startedAtMs = timers.getNowMs();
			for (const [atMs, outcome] of expected) {
				await runFor(timers, startedAtMs + atMs - timers.getNowMs(), 1); // eslint-disable-line no-await-in-loop -- One moment after the other.
				assert.equal(results.get('job')?.outcome, outcome);
			}
		});
	}

	it('refuses with the reason and a time to come again', async () => {
		const {timers, placer, submit, results} = await createBusyPlacer(longMs);
		submit(job);
		placer.setEntryRemainingMs({entryId: 'entry', incarnation: undefined}, remainingMs);
		await runFor(timers, 20);
		const result = results.get('job');
		assert.ok(result?.outcome === 'refused' && result.reason === 'stopping' && result.retryAfterMs >= 1000);
	});

	// Guards against a refusal that takes a job from callers of a daemon that stays.
	it('keeps a job that another entry daemon waits for, too', async () => {
		const {timers, placer, submit, results} = await createBusyPlacer(longMs);
		submit(job, {entryId: 'staying', submissionId: 'two'});
		submit(job);
		placer.setEntryRemainingMs({entryId: 'entry', incarnation: undefined}, remainingMs);
		await runFor(timers, remainingMs, 1);
		assert.equal(results.get('job'), undefined);
	});

	// Guards against a refusal as "not run" of a job that has run in part.
	it('keeps a job whose first step has run', async () => {
		const {timers, placer, submit, results, fleet} = await createBusyPlacer(longMs);
		submit({...job, steps: [{...largeStep, cpuMillicores: 1000}, {...largeStep, dependsOn: [0]}]});
		await runFor(timers, 300);
		assert.equal(fleet.records.filter(({taskName}) => taskName.startsWith('job')).length, 1);
		placer.setEntryRemainingMs({entryId: 'entry', incarnation: undefined}, remainingMs);
		await runFor(timers, remainingMs, 1);
		assert.equal(results.get('job'), undefined);
	});

	// Guards against messages that arrive late: an older one would lengthen the time, one of an earlier process would end it.
	it('takes the shortest time of a process, and none of another one', async () => {
		const {timers, placer, submit, results} = await createBusyPlacer(6100);
		submit(job);
		placer.setEntryRemainingMs({entryId: 'entry', incarnation: 'earlier'}, 0);
		await runFor(timers, 20);
		assert.equal(results.get('job'), undefined);
		placer.setEntryRemainingMs({entryId: 'entry', incarnation: undefined}, 2000);
		placer.setEntryRemainingMs({entryId: 'entry', incarnation: undefined}, 20_000);
		await runFor(timers, 2000, 1);
		assert.equal(results.get('job')?.outcome, 'refused');
	});

	// Guards against a refusal although a run ends before its time.
	it('keeps a job while a run is being stopped', async () => {
		const {timers, placer, submit, results} = await createBusyPlacer(longMs);
		submit(job);
		placer.cancel('other');
		placer.setEntryRemainingMs({entryId: 'entry', incarnation: undefined}, remainingMs);
		await runFor(timers, 500, 1);
		assert.equal(results.get('job')?.outcome, 'completed');
	});
});
