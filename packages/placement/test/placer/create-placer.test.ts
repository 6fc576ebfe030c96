import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {createTestPlacer, defaultRequest} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

describe('createPlacer', () => {
	it('runs every task of a job once and tells the result', async () => {
		const {timers, fleet, submit, results} = createTestPlacer();
		await runFor(timers, 10);
		submit({jobId: 'job'});
		await runFor(timers, 200);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.records.map(({taskName, runNumber, how}) => [taskName, runNumber, how]), [
			['job.0.0.0', 1, 'done'],
			['job.0.0.1', 1, 'done'],
		]);
	});

	it('starts a later step when the earlier ones are done', async () => {
		const {timers, fleet, submit, results} = createTestPlacer();
		const [step] = defaultRequest.steps;
		submit({jobId: 'job', steps: [{...step!, taskCount: 1}, {...step!, taskCount: 1, dependsOn: [0]}]});
		await runFor(timers, 300);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.ok(fleet.records[1]!.startedAtMs >= fleet.records[0]!.endedAtMs!);
	});

	it('never puts more on a backend server than it has', async () => {
		const {timers, fleet, submit} = createTestPlacer({serverCount: 3});
		for (let number = 0; number < 40; number++) {
			submit({jobId: `job-${number}`});
			// eslint-disable-next-line no-await-in-loop -- The load comes over time.
			await runFor(timers, 7);
		}

		await runFor(timers, 500);
		assert.ok(fleet.getPeakUtilization() > 0.8 && fleet.getPeakUtilization() <= 1, `highest use ${fleet.getPeakUtilization()}`);
	});

	it('says when a backend server can no longer be claimed in the term', async () => {
		const {timers, fleet, placer} = createTestPlacer({serverCount: 2});
		const random = createSeededRandomSource(1);
		await runFor(timers, 10);
		fleet.servers[0]!.fault = {isUnreachableFrom: () => true};
		await runFor(timers, 180_000, 20);
		assert.equal(placer.hasExhaustedClaims(), false, 'a claim that is repeated takes no further token');
		fleet.servers[1]!.fault = {isRequestDelayed: () => random.getFraction() < 0.5};
		await runFor(timers, 400_000, 10);
		assert.equal(placer.hasExhaustedClaims(), true);
	});

	it('serves most jobs in time though one order in ten goes unanswered and is carried out late', async () => {
		const {timers, fleet, submit, results, endedAtMs} = createTestPlacer({serverCount: 12});
		const random = createSeededRandomSource(1);
		await runFor(timers, 10);
		for (const server of fleet.servers) {
			server.fault = {isRequestDelayed: () => random.getFraction() < 0.1};
		}

		const inTime: boolean[] = [];
		for (let number = 0; number < 100; number++) {
			submit({jobId: `job-${number}`});
			// eslint-disable-next-line no-await-in-loop -- The load comes over time.
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
		{title: 'a backend server that fails everything', fault: {failsAllTasks: true}},
		{title: 'a backend server on which tasks stand still', fault: {slowdownFactor: Number.POSITIVE_INFINITY}},
		{title: 'a backend server that is eight times slower', fault: {slowdownFactor: 8}},
		{title: 'a backend server that carries starts out late', fault: {startDelayMs: 700}},
	];
	for (const {title, fault} of failures) {
		it(`completes jobs beside ${title}`, async () => {
			const {timers, fleet, submit, results, endedAtMs} = createTestPlacer({serverCount: 5});
			await runFor(timers, 10);
			fleet.servers[0]!.fault = fault;
			for (let number = 0; number < 10; number++) {
				submit({jobId: `job-${number}`});
				// eslint-disable-next-line no-await-in-loop -- The load comes over time.
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

	it('fails a job whose tasks always fail, after its attempts', async () => {
		const {timers, fleet, submit, results} = createTestPlacer({serverCount: 6});
		for (const server of fleet.servers) {
			server.fault = {failsAllTasks: true};
		}

		submit({jobId: 'job', mostAttempts: 2});
		await runFor(timers, 600);
		assert.deepEqual(results.get('job'), {outcome: 'failed', reason: 'attempts-used'});
		assert.ok(fleet.records.every(({runNumber}) => runNumber <= 2));
	});

	it('answers a job that cannot be served in time at once, and it never runs', async () => {
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

	it('answers copies of a refused hand-in with the refusal, and begins a new one anew', async () => {
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

	it('stops the runs of a cancelled job', async () => {
		const {timers, fleet, submit, placer} = createTestPlacer({getDurationMs: () => 2000});
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 900}]});
		await runFor(timers, 50);
		placer.cancel('job');
		await runFor(timers, 60);
		assert.deepEqual(fleet.records.map(({how}) => how), ['stopped', 'stopped']);
	});
});

describe('a second placer', () => {
	it('takes over what runs, and nothing of the first one starts afterwards', async () => {
		const {timers, fleet, submit, placer, results, createNext} = createTestPlacer({getDurationMs: () => 400});
		await runFor(timers, 10);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 400}]});
		await runFor(timers, 100);
		const next = createNext(2, 'second');
		next.setServers(fleet.getDescriptions(), 0);
		next.submit('entry', {
			kind: 'placement.submit', request: {...defaultRequest, jobId: 'job', ageMs: 100}, generation: 1, submissionId: 'one', mayHaveStarted: true,
		});
		await runFor(timers, 20);
		submit({jobId: 'late'});
		await runFor(timers, 600);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.records.map(({runNumber, how}) => [runNumber, how]), [[1, 'done'], [1, 'done']]);
		assert.ok(placer.isSuperseded());
	});

	it('does not begin a job again while a backend server that may run it is hidden', async () => {
		const {timers, fleet, results, createNext} = createTestPlacer({getDurationMs: () => 900});
		const next = createNext(2, 'second');
		next.setServers(fleet.getDescriptions().slice(0, 3), 1);
		next.submit('entry', {
			kind: 'placement.submit', request: {...defaultRequest, jobId: 'job', ageMs: 100}, generation: 1, submissionId: 'one', mayHaveStarted: true,
		});
		await runFor(timers, 600);
		assert.deepEqual(results.get('job'), {outcome: 'unknown'});
		assert.equal(fleet.records.length, 0);
	});

	it('stops runs that nobody hands in again', async () => {
		const {timers, fleet, submit, createNext} = createTestPlacer({getDurationMs: () => 5000});
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 900}]});
		await runFor(timers, 50);
		createNext(2, 'second').setServers(fleet.getDescriptions(), 0);
		await runFor(timers, 400);
		assert.deepEqual(fleet.records.map(({how}) => how), ['stopped', 'stopped']);
	});
});

describe('a backend server that cannot be reached', () => {
	it('has its tasks begun elsewhere only when no lease can last, one of another placer included', async () => {
		const {timers, fleet, submit, events, results} = createTestPlacer({serverCount: 2, getDurationMs: () => 900});
		const isRepeated = () => events.events.some(({name, fields}) => name === 'task-repeated' && fields.reason === 'lost');
		await runFor(timers, 400);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 900}], callerTimeoutMs: 6000});
		await runFor(timers, 100);
		// The lease of the last renewal ends at 1302 ms; another placer may give one until then, and needs a while to stop runs.
		fleet.servers.find(({description}) => description.id === fleet.records[0]!.serverId)!.fault = {isUnreachableFrom: () => true};
		await runFor(timers, 1200);
		assert.equal(isRepeated(), false);
		await runFor(timers, 3000);
		assert.equal(isRepeated(), true);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.findOverlaps(), []);
	});
});
