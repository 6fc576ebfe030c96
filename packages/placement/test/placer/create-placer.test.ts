import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import type {JobHandover} from '../../src/index.js';
import {createTestPlacer, defaultRequest, unknownPlacerId} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

function getHandover(...placerIds: string[]): JobHandover {
	return {placers: placerIds.map(placerId => ({placerId, incarnation: 'one'})), registryDigest: ''};
}

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
		const random = createSeededRandomSource(1);
		await runFor(timers, 10);
		fleet.servers[0]!.fault = {isUnreachableFrom: () => true};
		await runFor(timers, 180_000, 20);
		assert.equal(placer.hasExhaustedClaims(), false, 'a retried claim uses no further token');
		fleet.servers[1]!.fault = {isRequestDelayed: () => random.getFraction() < 0.5};
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

	it('stops the runs of a cancelled job', async () => {
		const {timers, fleet, submit, placer} = createTestPlacer({getDurationMs: () => 2000});
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 900}]});
		await runFor(timers, 50);
		placer.cancel('job');
		await runFor(timers, 60);
		assert.deepEqual(fleet.records.map(({outcome}) => outcome), ['stopped', 'stopped']);
	});
});

describe('a successor placer', () => {
	it('adopts the runs of its predecessor, which can start nothing afterwards', async () => {
		const {timers, fleet, submit, placer, results, createSuccessor} = createTestPlacer({getDurationMs: () => 400});
		await runFor(timers, 10);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 400}]});
		await runFor(timers, 100);
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions(), 0);
		successor.submit('entry', {
			kind: 'placement.submit',
			request: {...defaultRequest, jobId: 'job', ageMs: 100},
			generation: 1,
			submissionId: 'one',
			mayHaveStarted: true,
			handover: getHandover('first'),
		});
		await runFor(timers, 20);
		submit({jobId: 'late'});
		await runFor(timers, 600);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.records.map(({runNumber, outcome}) => [runNumber, outcome]), [[1, 'done'], [1, 'done']]);
		assert.ok(placer.isSuperseded());
	});

	it('logs what its predecessor left open, and how much it knows when it looks for the runs', async () => {
		const {timers, fleet, submit, placer, events, createSuccessor} = createTestPlacer({getDurationMs: () => 900});
		await runFor(timers, 10);
		submit({jobId: 'started'});
		await runFor(timers, 20);
		submit({jobId: 'too-wide', steps: [{...defaultRequest.steps[0]!, cpuMillicores: 99_000}]});
		placer.stop();
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions().slice(0, 3), 1);
		successor.submit('entry', {
			kind: 'placement.submit',
			request: {...defaultRequest, jobId: 'other', ageMs: 100},
			generation: 1,
			submissionId: 'one',
			mayHaveStarted: true,
			handover: getHandover('first'),
		});
		await runFor(timers, 600);
		const servers = fleet.records.map(({serverId}) => serverId).join(' ');
		const getFields = (name: string) => events.events.filter(event => event.name === name).map(({fields}) => fields);
		assert.deepEqual(getFields('job-left-open'), [{
			job: 'started', entry: 'entry', ageMs: 20, servers,
		}]);
		assert.deepEqual(getFields('job-recovered'), [{
			job: 'other', tasks: 2, missing: 2, known: false, servers: 3, heldServers: 3, unclaimableServers: 1, isCovered: true, earlierPlacers: 'first',
		}]);
	});

	it('does not restart a job while a backend server that may run it must not be claimed', async () => {
		const {timers, fleet, results, createSuccessor} = createTestPlacer({getDurationMs: () => 900});
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions().slice(0, 3), 1);
		successor.submit('entry', {
			kind: 'placement.submit',
			request: {...defaultRequest, jobId: 'job', ageMs: 100},
			generation: 1,
			submissionId: 'one',
			mayHaveStarted: true,
			handover: getHandover('first'),
		});
		await runFor(timers, 600);
		assert.deepEqual(results.get('job'), {outcome: 'unknown'});
		assert.equal(fleet.records.length, 0);
	});

	const earlierPlacers = [
		{title: 'is not covered', placerIds: ['first', unknownPlacerId]},
		{title: 'is not named', placerIds: undefined},
	];
	for (const {title, placerIds} of earlierPlacers) {
		it(`does not restart a job if an earlier placer ${title}, since tasks may run on backend servers that it does not know`, async () => {
			const {timers, fleet, results, createSuccessor} = createTestPlacer({getDurationMs: () => 900});
			const successor = createSuccessor(2, 'second');
			successor.setServers(fleet.getDescriptions(), 0);
			successor.submit('entry', {
				kind: 'placement.submit',
				request: {...defaultRequest, jobId: 'job', ageMs: 100},
				generation: 1,
				submissionId: 'one',
				mayHaveStarted: true,
				handover: placerIds === undefined ? undefined : getHandover(...placerIds),
			});
			await runFor(timers, 300);
			assert.equal(results.get('job'), undefined, 'it waits for the registry of the earlier placer');
			await runFor(timers, 300);
			assert.deepEqual(results.get('job'), {outcome: 'unknown'});
			assert.equal(fleet.records.length, 0);
		});
	}

	// Guards against a placer that has the old description of a backend server and takes its new incarnation for an idle one.
	it('does not restart a job that may run on a newer incarnation of a backend server', async () => {
		const {timers, fleet, placer, submit, createSuccessor} = createTestPlacer({serverCount: 2, getDurationMs: () => 900});
		const descriptions = fleet.getDescriptions();
		for (const server of fleet.servers) {
			server.description = {...server.description, bornMs: 2};
		}

		placer.setServers(fleet.getDescriptions(), 0);
		await runFor(timers, 10);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 900}]});
		await runFor(timers, 100);
		const {serverId} = fleet.records[0]!;
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions().map(description => description.id === serverId ? descriptions.find(({id}) => id === serverId)! : description), 0);
		successor.submit('entry', {
			kind: 'placement.submit',
			request: {
				...defaultRequest, jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 900}], ageMs: 100,
			},
			generation: 1,
			submissionId: 'two',
			mayHaveStarted: true,
			handover: getHandover('first'),
		});
		await runFor(timers, 1500);
		assert.deepEqual(fleet.findOverlaps(), []);
	});

	const finished: Array<{title: string; claimedAtMs: number; submittedAtMs: number}> = [
		{title: 'before it claimed the backend servers', claimedAtMs: 200, submittedAtMs: 210},
		{title: 'between its claims and the submission', claimedAtMs: 60, submittedAtMs: 210},
	];
	for (const {title, claimedAtMs, submittedAtMs} of finished) {
		// Guards against work that is run again because the placer that had started it did not see its end.
		it(`counts tasks as done that ended ${title}, although a backend server is unreachable`, async () => {
			const {timers, fleet, submit, placer, results, createSuccessor} = createTestPlacer({getDurationMs: () => 100});
			await runFor(timers, 10);
			submit({jobId: 'job'});
			await runFor(timers, 40);
			placer.stop();
			const usedIds = new Set(fleet.records.map(({serverId}) => serverId));
			fleet.servers.find(({description}) => !usedIds.has(description.id))!.fault = {isUnreachableFrom: () => true};
			await runFor(timers, claimedAtMs - timers.getNowMs());
			const successor = createSuccessor(2, 'second');
			successor.setServers(fleet.getDescriptions(), 0);
			await runFor(timers, submittedAtMs - timers.getNowMs());
			successor.submit('entry', {
				kind: 'placement.submit',
				request: {...defaultRequest, jobId: 'job', ageMs: 200},
				generation: 1,
				submissionId: 'one',
				mayHaveStarted: true,
				handover: getHandover('first'),
			});
			await runFor(timers, 20);
			assert.deepEqual(results.get('job'), {outcome: 'completed'});
			assert.equal(fleet.records.length, 2);
		});
	}

	// Guards against a caller's second submission whose tasks are run again after the runs of the first one.
	it('adopts the runs of a job that its caller submits again through another daemon', async () => {
		const {timers, fleet, submit, placer, results, createSuccessor} = createTestPlacer({getDurationMs: () => 400});
		await runFor(timers, 10);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 400}]});
		await runFor(timers, 100);
		placer.stop();
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions(), 0);
		await runFor(timers, 50);
		successor.submit('other-entry', {
			kind: 'placement.submit', request: {...defaultRequest, jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 400}]}, generation: 0, submissionId: 'two', mayHaveStarted: false,
		});
		await runFor(timers, 600);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.records.map(({runNumber, outcome}) => [runNumber, outcome]), [[1, 'done'], [1, 'done']]);
	});

	// Guards against runs that are stopped because their job waits for registries although all of its runs are found.
	it('completes a job whose runs are all found, even if an earlier placer is not covered', async () => {
		const {timers, fleet, submit, results, createSuccessor, requestedSources} = createTestPlacer({getDurationMs: () => 900});
		await runFor(timers, 10);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 900}]});
		await runFor(timers, 100);
		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions(), 0);
		successor.submit('entry', {
			kind: 'placement.submit',
			request: {...defaultRequest, jobId: 'job', ageMs: 100},
			generation: 1,
			submissionId: 'one',
			mayHaveStarted: true,
			handover: getHandover(unknownPlacerId),
		});
		await runFor(timers, 1000);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.records.map(({runNumber, outcome}) => [runNumber, outcome]), [[1, 'done'], [1, 'done']]);
		assert.deepEqual(requestedSources[0], {...getHandover(unknownPlacerId), entryId: 'entry'});
	});

	// Guards against two placers of one term of which the replaced one fences the other, which then does not know what runs.
	it('stays in control of a backend server that its predecessor of the same term claims again', async () => {
		const {timers, fleet, submit, createSuccessor} = createTestPlacer({serverCount: 2, getDurationMs: () => 600});
		const [first] = fleet.servers;
		await runFor(timers, 10);
		const successor = createSuccessor(1, 'second', 2);
		first!.fault = {isRequestDelayed: () => true};
		submit({jobId: 'unanswered', steps: [{...defaultRequest.steps[0]!, taskCount: 1}]});
		await runFor(timers, 5);
		first!.fault = {};
		successor.setServers(fleet.getDescriptions(), 0);
		// The predecessor claims the first backend server again because its request went unanswered, and starts a job there.
		await runFor(timers, 160);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1}]});
		await runFor(timers, 20);
		successor.submit('entry', {
			kind: 'placement.submit',
			request: {
				...defaultRequest, jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1}], ageMs: 20,
			},
			generation: 1,
			submissionId: 'two',
			mayHaveStarted: true, handover: getHandover('first'),
		});
		await runFor(timers, 1000);
		assert.deepEqual(fleet.findOverlaps(), []);
	});

	it('stops runs whose jobs are not submitted again', async () => {
		const {timers, fleet, submit, createSuccessor} = createTestPlacer({getDurationMs: () => 5000});
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, estimateMs: 900}]});
		await runFor(timers, 50);
		createSuccessor(2, 'second').setServers(fleet.getDescriptions(), 0);
		await runFor(timers, 400);
		assert.deepEqual(fleet.records.map(({outcome}) => outcome), ['stopped', 'stopped']);
	});
});

describe('an unreachable backend server', () => {
	it('has its tasks restarted elsewhere only when every lease has expired, including one of another placer', async () => {
		const {timers, fleet, submit, events, results} = createTestPlacer({serverCount: 2, getDurationMs: () => 900});
		const isRepeated = () => events.events.some(({name, fields}) => name === 'task-repeated' && fields.reason === 'lost');
		await runFor(timers, 400);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 900}], callerTimeoutMs: 6000});
		await runFor(timers, 100);
		// The lease of the last renewal ends at 1302 ms. Another placer may grant one until then and needs some time to stop runs.
		fleet.servers.find(({description}) => description.id === fleet.records[0]!.serverId)!.fault = {isUnreachableFrom: () => true};
		await runFor(timers, 1200);
		assert.equal(isRepeated(), false);
		await runFor(timers, 3000);
		assert.equal(isRepeated(), true);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.findOverlaps(), []);
	});
});
