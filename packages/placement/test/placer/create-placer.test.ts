import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {createTestPlacer, defaultRequest, unknownPlacerId} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

describe('createPlacer', () => {
	it('runs every task of a job once and reports the result', async () => {
		const {timers, fleet, submit, results} = createTestPlacer();
		await runFor(timers, 10);
		submit({jobId: 'job'});
		await runFor(timers, 200);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.records.map(({taskName, runNumber, outcome}) => [taskName, runNumber, outcome]), [
			['job.0.0.0', 1, 'done'],
			['job.0.0.1', 1, 'done'],
		]);
	});

	it('starts a step after the steps that it depends on', async () => {
		const {timers, fleet, submit, results} = createTestPlacer();
		const [step] = defaultRequest.steps;
		submit({jobId: 'job', steps: [{...step!, taskCount: 1}, {...step!, taskCount: 1, dependsOn: [0]}]});
		await runFor(timers, 300);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.ok(fleet.records[1]!.startedAtMs >= fleet.records[0]!.endedAtMs!);
	});

	it('never exceeds the capacity of a backend server', async () => {
		const {timers, fleet, submit} = createTestPlacer({serverCount: 3});
		for (let number = 0; number < 40; number++) {
			submit({jobId: `job-${number}`});
			// eslint-disable-next-line no-await-in-loop -- The jobs arrive over time.
			await runFor(timers, 7);
		}

		await runFor(timers, 500);
		assert.ok(fleet.getPeakUtilization() > 0.8 && fleet.getPeakUtilization() <= 1, `peak utilization ${fleet.getPeakUtilization()}`);
	});

	it('reports when the claims of the term are exhausted for a backend server', async () => {
		const {timers, fleet, placer} = createTestPlacer({serverCount: 2});
		await runFor(timers, 10);
		fleet.servers[0]!.fault = {isUnreachableFrom: () => true};
		await runFor(timers, 180_000, 20);
		assert.equal(placer.hasExhaustedClaims(), false, 'a retried claim uses no further token');
		fleet.servers[1]!.fault = {isRequestDelayed: () => timers.getNowMs() % 1500 > 700};
		await runFor(timers, 400_000, 10);
		assert.equal(placer.hasExhaustedClaims(), true);
	});

	it('completes most jobs in time although one request in ten goes unanswered and takes effect late', async () => {
		const {timers, fleet, submit, results, endedAtMs} = createTestPlacer({serverCount: 12});
		const random = createSeededRandomSource(1);
		await runFor(timers, 10);
		for (const server of fleet.servers) {
			server.fault = {isRequestDelayed: () => random.getFraction() < 0.1};
		}

		const inTime: boolean[] = [];
		for (let number = 0; number < 100; number++) {
			submit({jobId: `job-${number}`});
			// eslint-disable-next-line no-await-in-loop -- The jobs arrive over time.
			await runFor(timers, 25);
		}

		await runFor(timers, 3000);
		for (let number = 0; number < 100; number++) {
			inTime.push(results.get(`job-${number}`)?.outcome === 'completed' && endedAtMs.get(`job-${number}`)! - 10 - (number * 25) <= 220);
		}

		assert.deepEqual(fleet.findOverlaps(), []);
		assert.ok(fleet.getPeakUtilization() <= 1);
		const inTimeCount = inTime.filter(Boolean).length;
		assert.ok(inTimeCount >= 85, `${inTimeCount} of 100 jobs in time`);
	});

	const failures = [
		{title: 'a backend server that fails every task', fault: {failsAllTasks: true}},
		{title: 'a backend server on which tasks hang', fault: {slowdownFactor: Number.POSITIVE_INFINITY}},
		{title: 'a backend server that is eight times slower', fault: {slowdownFactor: 8}},
		{title: 'a backend server on which starts take effect late', fault: {startDelayMs: 700}},
	];
	for (const {title, fault} of failures) {
		it(`completes all jobs in time despite ${title}`, async () => {
			const {timers, fleet, submit, results, endedAtMs} = createTestPlacer({serverCount: 5});
			await runFor(timers, 10);
			fleet.servers[0]!.fault = fault;
			for (let number = 0; number < 10; number++) {
				submit({jobId: `job-${number}`});
				// eslint-disable-next-line no-await-in-loop -- The jobs arrive over time.
				await runFor(timers, 60);
			}

			await runFor(timers, 1500);
			const outcomes = [...results.values()].map(({outcome}) => outcome);
			assert.deepEqual(outcomes, Array.from({length: 10}, () => 'completed'));
			assert.deepEqual(fleet.findOverlaps(), []);
			const lateCount = [...endedAtMs].filter(([jobId, atMs]) => atMs - (10 + (Number(jobId.slice(4)) * 60)) > 700).length;
			assert.equal(lateCount, 0);
		});
	}

	it('fails a job whose tasks use up their attempts', async () => {
		const {timers, fleet, submit, results} = createTestPlacer({serverCount: 6});
		for (const server of fleet.servers) {
			server.fault = {failsAllTasks: true};
		}

		submit({jobId: 'job', mostAttempts: 2});
		await runFor(timers, 600);
		assert.deepEqual(results.get('job'), {outcome: 'failed', reason: 'attempts-used'});
		assert.ok(fleet.records.every(({runNumber}) => runNumber <= 2));
	});

	it('refuses jobs that cannot be served in time immediately, and never runs them', async () => {
		const {timers, fleet, submit, results} = createTestPlacer({serverCount: 1});
		await runFor(timers, 10);
		for (let number = 0; number < 12; number++) {
			submit({jobId: `job-${number}`});
		}

		await runFor(timers, 5);
		const refused = [...results].filter(([, {outcome}]) => outcome === 'refused').map(([jobId]) => jobId);
		assert.ok(refused.length >= 8, `${refused.length} refused`);
		await runFor(timers, 2000);
		for (const jobId of refused) {
			assert.ok(fleet.records.every(({taskName}) => !taskName.startsWith(`${jobId}.`)), jobId);
		}
	});

	it('repeats the refusal for copies of a refused submission, and runs a new submission', async () => {
		const {timers, fleet, submit, results} = createTestPlacer();
		await runFor(timers, 10);
		submit({jobId: 'job', ageMs: 1400}, {submissionId: 'first'});
		await runFor(timers, 5);
		assert.equal(results.get('job')?.outcome, 'refused');
		submit({jobId: 'job'}, {submissionId: 'first'});
		await runFor(timers, 200);
		assert.equal(fleet.records.length, 0);
		submit({jobId: 'job'}, {submissionId: 'second'});
		await runFor(timers, 200);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
	});

	// Guards against a job that is taken as new, and refused as not run, although the runs of an earlier submission were stopped.
	it('knows the submissions that were joined in a job, and those of earlier jobs of the same id', async () => {
		const {timers, fleet, submit, placer, results} = createTestPlacer({getDurationMs: () => 500});
		await runFor(timers, 10);
		submit({jobId: 'job'}, {submissionId: 'first'});
		await runFor(timers, 50);
		submit({jobId: 'job'}, {submissionId: 'joined'});
		placer.cancel('job');
		await runFor(timers, 200);
		const runCount = fleet.records.length;
		results.clear();
		submit({jobId: 'job'}, {submissionId: 'joined'});
		assert.deepEqual(results.get('job'), {outcome: 'failed', reason: 'cancelled'});
		submit({jobId: 'job', ageMs: 1400}, {submissionId: 'later'});
		await runFor(timers, 5);
		assert.equal(results.get('job')?.outcome, 'refused');
		submit({jobId: 'job'}, {submissionId: 'first'});
		assert.deepEqual(results.get('job'), {outcome: 'unknown'});
		await runFor(timers, 200);
		assert.equal(fleet.records.length, runCount);
	});

	it('stops the runs of a cancelled job', async () => {
		const {timers, fleet, submit, placer} = createTestPlacer({getDurationMs: () => 2000});
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 900}]});
		await runFor(timers, 50);
		placer.cancel('job');
		await runFor(timers, 60);
		assert.deepEqual(fleet.records.map(({outcome}) => outcome), ['stopped', 'stopped']);
	});
});
