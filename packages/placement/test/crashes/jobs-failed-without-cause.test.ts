import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Placer} from '../../src/index.js';
import {createTestPlacer, defaultRequest, type TestPlacer} from '../support/create-test-placer.js';
import type {FakeFleetOptions} from '../support/fake-fleet.js';
import type {FakeServer, RunRecord} from '../support/fake-server.js';
import {runFor} from '../support/run-for.js';

type Options = Partial<Pick<FakeFleetOptions, 'serverCount' | 'isDeadly' | 'restartMs' | 'isCrashSilent' | 'onStartRequest'>>;

const taskName = 'job.0.0.0';
const durationMs = 2000;
const callerTimeoutMs = 60_000;
/** No backend server is silent or down for longer. */
const maxWaitMs = 15_000;
const refusalMs = 300;
/** Longer than all leases and the margin of a takeover, so long that the next two runs are on other backend servers. */
const silenceMs = 4100;
const lossCount = 3;
/** A task is started no more than twice after three crashes. */
const maxCrashes = 3;
const maxStarts = 5;

const request = {
	steps: [{
		...defaultRequest.steps[0]!, taskCount: 1, cpuMillicores: 12_000, estimateMs: durationMs,
	}],
	slackMs: callerTimeoutMs,
	callerTimeoutMs,
};

async function createStartedPlacer(options: Options = {}): Promise<TestPlacer> {
	const test = createTestPlacer({serverCount: 8, getDurationMs: () => durationMs, ...options});
	await runFor(test.timers, 20);
	return test;
}

/** Runs until the job has ended. */
async function finish({timers, results}: TestPlacer, jobId = 'job'): Promise<void> {
	for (let passedMs = 0; passedMs < 2 * maxWaitMs && !results.has(jobId); passedMs += 100) {
		// eslint-disable-next-line no-await-in-loop -- Time advances until the job ends.
		await runFor(timers, 100);
	}
}

/** Runs until a run of the task, other than earlier ones, has a certain age. Finds none if the job ends before. */
async function findRunOfAge({timers, fleet, results}: TestPlacer, ageMs: number, earlier: ReadonlySet<RunRecord> = new Set()): Promise<RunRecord | undefined> {
	const endMs = timers.getNowMs() + maxWaitMs;
	while (timers.getNowMs() < endMs && !results.has('job')) {
		const runs = fleet.records.filter(record => record.taskName === taskName && record.endedAtMs === undefined && !earlier.has(record));
		const run = runs.find(({startedAtMs}) => timers.getNowMs() - startedAtMs >= ageMs);
		if (run !== undefined) {
			return run;
		}

		// eslint-disable-next-line no-await-in-loop -- Time advances until there is such a run.
		await runFor(timers, 0.5);
	}

	return undefined;
}

/** Applies a fault to the backend server of each run of the task, when the run has a certain age. */
async function applyFaults(test: TestPlacer, agesMs: readonly number[], apply: (serverId: string) => void): Promise<void> {
	const earlier = new Set<RunRecord>();
	for (const ageMs of agesMs) {
		// eslint-disable-next-line no-await-in-loop -- The faults follow each other.
		const run = await findRunOfAge(test, ageMs, earlier);
		if (run !== undefined) {
			earlier.add(run);
			apply(run.serverId);
		}
	}
}

/** Creates a hook that applies a fault to the first backend servers to which the task's start is sent, before it arrives. */
function createStartFault(apply: (server: FakeServer) => void, count = lossCount): (server: FakeServer, startedName: string) => void {
	const serverIds = new Set<string>();
	return (server, startedName) => {
		const {id} = server.description;
		if (startedName === taskName && serverIds.size < count && !serverIds.has(id)) {
			serverIds.add(id);
			apply(server);
		}
	};
}

function getEvents({events}: TestPlacer, name: string): unknown[] {
	return events.events.filter(event => event.name === name).map(({fields}) => fields);
}

function assertCompleted(test: TestPlacer, jobIds: readonly string[] = ['job']): void {
	assert.deepEqual(Object.fromEntries(test.results), Object.fromEntries(jobIds.map(jobId => [jobId, {outcome: 'completed'}])));
	assert.deepEqual(getEvents(test, 'task-given-up'), []);
	assert.deepEqual(test.fleet.findOverlaps(), []);
}

describe('a placer that loses runs of a task which is not the cause', () => {
	const failures = [
		{title: 'runs that are old', agesMs: [900, 900, 900]},
		{title: 'runs that have only just started', agesMs: [5, 12, 20]},
	];
	for (const {title, agesMs} of failures) {
		// Guards against a job that is shown as failed because its task was on three racks that failed, with all other runs there.
		it(`completes a job whose task loses three backend servers in failures of several at once: ${title}`, async () => {
			const test = await createStartedPlacer();
			const otherIds = ['other-1', 'other-2', 'other-3', 'other-4'];
			for (const jobId of otherIds) {
				test.submit({...request, jobId, queueName: 'others'});
			}

			await runFor(test.timers, 100);
			test.submit({...request, jobId: 'job'});
			await applyFaults(test, agesMs, serverId => {
				const others = test.fleet.servers.filter(({description, fault}) => description.id !== serverId && !fault.isRefusing).slice(0, 3);
				for (const id of [serverId, ...others.map(({description}) => description.id)]) {
					test.fleet.crashProcess(id);
				}
			});
			await finish(test);
			await runFor(test.timers, 3000);
			assertCompleted(test, [...otherIds, 'job']);
		});
	}

	// Guards against a refused connection that counts as a crash although the start was refused with it and nothing ran.
	it('completes a job whose start is refused by three backend servers, which respond again as the same incarnation', async () => {
		const onStartRequest = createStartFault(server => {
			test.fleet.refuseConnections(server.description.id, refusalMs);
		});
		const test = await createStartedPlacer({onStartRequest});
		test.submit({...request, jobId: 'job'});
		await finish(test);
		assertCompleted(test);
		assert.equal(test.fleet.records.length, 1);
	});

	// Guards against a running task that is given up because connections to its backend server were refused for a moment.
	it('completes a job whose run goes on while connections to its backend server are refused', async () => {
		const test = await createStartedPlacer();
		test.submit({...request, jobId: 'job'});
		const first = await findRunOfAge(test, 10);
		test.fleet.refuseConnections(first!.serverId, refusalMs);
		await runFor(test.timers, 600);
		assert.equal(first!.endedAtMs, undefined);
		test.fleet.crashProcess(first!.serverId);
		const second = await findRunOfAge(test, 10);
		test.fleet.refuseConnections(second!.serverId, refusalMs);
		await finish(test);
		assertCompleted(test);
		assert.equal(test.fleet.records.length, 2);
	});

	// Guards against a queue that is kept apart for crashes of backend servers that did not crash.
	it('puts no queue into quarantine for backend servers that refused connections and responded again', async () => {
		const refusedTasks = new Set<string>();
		const test = await createStartedPlacer({
			onStartRequest({description}, startedName) {
				if (!refusedTasks.has(startedName)) {
					refusedTasks.add(startedName);
					test.fleet.refuseConnections(description.id, refusalMs);
				}
			},
		});
		const jobIds = ['one', 'two', 'three', 'four', 'five'];
		for (const jobId of jobIds) {
			test.submit({...request, jobId});
			// eslint-disable-next-line no-await-in-loop -- Each backend server responds again before the next one refuses.
			await runFor(test.timers, 500);
		}

		await finish(test, 'five');
		assert.deepEqual(getEvents(test, 'queue-quarantined'), []);
		assertCompleted(test, jobIds);
	});

	// Guards against a run that lapses on a backend server that was only silent and counts as a crash.
	it('completes a job whose backend servers are silent three times until its leases are over', async () => {
		const test = await createStartedPlacer();
		test.submit({...request, jobId: 'job'});
		await applyFaults(test, [200, 200, 900], serverId => {
			const server = test.fleet.servers.find(({description}) => description.id === serverId)!;
			server.fault = {isUnreachableFrom: () => true};
			test.timers.addTimer(silenceMs, () => {
				server.fault = {};
			});
		});
		await finish(test);
		assertCompleted(test);
		assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), ['lapsed', 'lapsed', 'lapsed', 'done']);
		assert.equal(new Set(test.fleet.records.slice(0, lossCount).map(({serverId}) => serverId)).size, lossCount);
	});

	const starts: Array<{title: string; apply: (server: FakeServer, test: TestPlacer) => void}> = [
		{
			title: 'the backend server is silent and responds again',
			apply(server, {timers}) {
				server.fault = {isUnreachableFrom: () => true};
				timers.addTimer(silenceMs, () => {
					server.fault = {};
				});
			},
		},
		{
			title: 'the backend server crashes before the start arrives',
			apply({description}, {fleet}) {
				fleet.crashProcess(description.id);
			},
		},
		{
			title: 'the start is held back until the backend server crashes',
			apply(server, {fleet, timers}) {
				server.fault = {isRequestDelayed: () => true};
				timers.addTimer(20, () => {
					server.fault = {};
					fleet.crashProcess(server.description.id);
				});
			},
		},
	];
	for (const {title, apply} of starts) {
		// Guards against starts without an answer that count as lost runs, although the task has never run.
		it(`completes a job after three starts without an answer: ${title}`, async () => {
			const onStartRequest = createStartFault(server => {
				apply(server, test);
			});
			const test = await createStartedPlacer({onStartRequest});
			test.submit({...request, jobId: 'job'});
			await finish(test);
			assertCompleted(test);
			assert.equal(test.fleet.records.length, 1);
		});
	}

	// Guards against a new placer that fails a job for crashes that its predecessor recorded and that were none.
	it('completes a job whose start was refused once under each of two placers', async () => {
		const refusingIds: string[] = [];
		const onStartRequest = createStartFault(({description}) => {
			refusingIds.push(description.id);
			test.fleet.refuseConnections(description.id, refusalMs);
		}, 2);
		const test = await createStartedPlacer({onStartRequest});
		test.submit({...request, jobId: 'job'});
		await runFor(test.timers, 100);
		test.placer.stop();
		const successor = test.createSuccessor(2, 'second');
		test.usePlacer(successor);
		successor.setServers(test.fleet.getDescriptions().map(description => (description.id === refusingIds[0] ? {...description, state: 'draining'} : description)), 0);
		resubmit(successor);
		await finish(test);
		assertCompleted(test);
		assert.equal(refusingIds.length, 2);
		assert.equal(test.fleet.records.length, 1);
	});
});

/** Submits the job to a placer after it was submitted to the first one. */
function resubmit(placer: Placer): void {
	placer.submit('entry', {
		kind: 'placement.submit',
		request: {
			...defaultRequest, ...request, jobId: 'job', ageMs: 100,
		},
		generation: 1,
		submissionId: 'one',
		mayHaveStarted: true,
		handover: {placers: [{placerId: 'first', incarnation: 'one'}], registryDigest: ''},
	});
}

/** Submits deadly jobs and a good one of the same queue at the same moment, on few backend servers. */
async function submitDeadlyNeighbors(serverCount: number): Promise<TestPlacer> {
	const test = await createStartedPlacer({serverCount, isDeadly: name => name.startsWith('deadly')});
	for (const jobId of ['good', 'deadly-1', 'deadly-2']) {
		test.submit({...request, jobId});
	}

	for (const jobId of ['good', 'deadly-1', 'deadly-2']) {
		// eslint-disable-next-line no-await-in-loop -- Time advances until all jobs have ended.
		await finish(test, jobId);
	}

	return test;
}

/** Counts the crashes by the tasks that caused them. */
function countCrashes({fleet}: TestPlacer): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {taskName} of fleet.crashes) {
		counts[taskName!] = (counts[taskName!] ?? 0) + 1;
	}

	return counts;
}

describe('a placer with tasks that crash the backend servers that start them', () => {
	for (const serverCount of [3, 8]) {
		// Guards against a good task that is given up because deadly ones of its queue started beside it.
		it(`completes a good job that shares its backend servers with deadly ones of its queue, on ${serverCount}`, async () => {
			const {fleet, results} = await submitDeadlyNeighbors(serverCount);
			assert.equal(new Set(fleet.records.slice(0, 3).map(({serverId, startedAtMs}) => `${serverId} ${startedAtMs}`)).size, 1, 'they start together');
			assert.deepEqual(results.get('good'), {outcome: 'completed'});
		});
	}

	for (const serverCount of [1, 3, 8]) {
		// Guards against deadly tasks that hide behind each other and go on crashing backend servers.
		it(`gives deadly tasks up after three crashes when they share their backend servers, on ${serverCount}`, async () => {
			const test = await submitDeadlyNeighbors(serverCount);
			assert.ok(Object.values(countCrashes(test)).every(count => count <= maxCrashes), JSON.stringify(countCrashes(test)));
			for (const jobId of ['deadly-1', 'deadly-2']) {
				assert.deepEqual(test.results.get(jobId), {outcome: 'failed', reason: 'attempts-used'});
			}
		});
	}

	const restarts: Array<{title: string; options: Options; maxCount: number}> = [
		{title: 'that are back after 3 s', options: {}, maxCount: maxCrashes},
		{title: 'that are back after 10 s', options: {restartMs: 10_000}, maxCount: maxCrashes},
		{title: 'that fall silent and are back after 3 s', options: {isCrashSilent: true}, maxCount: maxStarts},
		{title: 'that fall silent and are back after 10 s', options: {isCrashSilent: true, restartMs: 10_000}, maxCount: maxStarts},
	];
	for (const {title, options, maxCount} of restarts) {
		// Guards against a deadly task that is started without a limit because its crashes are taken for failures of others.
		it(`gives a deadly task up that is alone on backend servers ${title}`, async () => {
			const test = await createStartedPlacer({...options, isDeadly: () => true});
			test.submit({...request, jobId: 'job'});
			await finish(test);
			await runFor(test.timers, maxWaitMs);
			assert.deepEqual(test.results.get('job'), {outcome: 'failed', reason: 'attempts-used'});
			assert.ok(test.fleet.records.length <= maxCount, `${test.fleet.records.length} starts`);
		});
	}
});
