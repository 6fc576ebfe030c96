import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestPlacer, defaultRequest, type TestPlacer} from '../support/create-test-placer.js';
import type {FakeFleetOptions} from '../support/fake-fleet.js';
import {runFor} from '../support/run-for.js';

const todo = 'KNOWN-RED.txt';
const durationMs = 2000;
const callerTimeoutMs = 60_000;
const maxWaitMs = 30_000;
/** A task is started no more than twice after three crashes. */
const maxStarts = 5;
/** Longer than a run counts as new. */
const lateCrashMs = 100;

const step = {
	...defaultRequest.steps[0]!, taskCount: 1, cpuMillicores: 12_000, estimateMs: durationMs,
};
const request = {steps: [step], slackMs: callerTimeoutMs, callerTimeoutMs};

async function createStartedPlacer(options: Partial<FakeFleetOptions> = {}): Promise<TestPlacer> {
	const test = createTestPlacer({serverCount: 8, getDurationMs: () => durationMs, ...options});
	await runFor(test.timers, 20);
	return test;
}

/** Runs until the job has ended. */
async function finish({timers, results}: TestPlacer, jobId = 'job'): Promise<void> {
	for (let passedMs = 0; passedMs < maxWaitMs && !results.has(jobId); passedMs += 100) {
		// eslint-disable-next-line no-await-in-loop -- Time advances until the job ends.
		await runFor(timers, 100);
	}
}

function countStarts({fleet}: TestPlacer, taskName: string): number {
	return fleet.records.filter(record => record.taskName === taskName).length;
}

function findServerId({fleet}: TestPlacer, taskName: string): string | undefined {
	return fleet.servers.find(({runs}) => runs.has(taskName))?.description.id;
}

/** Runs until each of the tasks runs. */
async function findServerIds(test: TestPlacer, taskNames: readonly string[]): Promise<string[]> {
	const endMs = test.timers.getNowMs() + maxWaitMs;
	while (test.timers.getNowMs() < endMs && taskNames.some(taskName => findServerId(test, taskName) === undefined)) {
		// eslint-disable-next-line no-await-in-loop -- Time advances until the tasks run.
		await runFor(test.timers, 0.5);
	}

	return taskNames.map(taskName => findServerId(test, taskName) ?? '');
}

/** Creates a placer with tasks of a job that crash their backend servers some time after each start. */
async function createLateCrashes(): Promise<TestPlacer> {
	const test = await createStartedPlacer({
		getDurationMs(taskName) {
			if (taskName.startsWith('deadly')) {
				test.timers.addTimer(lateCrashMs, () => {
					const serverId = findServerId(test, taskName);
					if (serverId !== undefined) {
						test.fleet.crashProcess(serverId);
					}
				});
			}

			return taskName.startsWith('short') ? 30 : durationMs;
		},
	});
	return test;
}

describe('a placer with tasks that crash backend servers', () => {
	for (const isCrashSilent of [false, true]) {
		// Guards against two tasks of one job whose crashes are each taken for the failure that explains the other.
		it(`gives a job up of which two tasks crash their backend servers ${isCrashSilent ? 'silently' : 'late'} at the same time`, {todo}, async () => {
			const test = isCrashSilent
				? await createStartedPlacer({isCrashSilent, isDeadly: taskName => taskName.startsWith('deadly')})
				: await createLateCrashes();
			test.submit({...request, jobId: 'deadly', steps: [{...step, taskCount: 2, cpuMillicores: 40_000}]});
			await finish(test, 'deadly');
			assert.ok(countStarts(test, 'deadly.0.0.0') <= maxStarts, `${countStarts(test, 'deadly.0.0.0')} starts`);
		});
	}

	// Guards against a task that crashes its backend servers late, where other tasks have always just started.
	it('gives a task up that crashes its backend servers late, while others start there', {todo}, async () => {
		const test = await createLateCrashes();
		test.submit({...request, jobId: 'deadly'});
		for (let position = 0; position < 2000 && !test.results.has('deadly'); position++) {
			test.submit({...request, jobId: `short-${position}`, steps: [{...step, taskCount: 8, cpuMillicores: 1000, mostPerServer: 1, estimateMs: 30}]});
			// eslint-disable-next-line no-await-in-loop -- Jobs arrive over time.
			await runFor(test.timers, 15);
		}

		assert.ok(countStarts(test, 'deadly.0.0.0') <= maxStarts, `${countStarts(test, 'deadly.0.0.0')} starts`);
	});
});

describe('a placer with tasks that crash no backend server', () => {
	// Guards against jobs that are given up because each backend server that failed had a new run.
	it('completes jobs that have just started when their backend servers fail together, twice', {todo}, async () => {
		const test = await createStartedPlacer();
		const jobIds = ['one', 'two', 'three'];
		for (const jobId of jobIds) {
			test.submit({...request, jobId, steps: [{...step, cpuMillicores: 40_000}]});
		}

		for (let failure = 0; failure < 2; failure++) {
			// eslint-disable-next-line no-await-in-loop -- The failures follow each other.
			const serverIds = await findServerIds(test, jobIds.map(jobId => `${jobId}.0.0.0`));
			// eslint-disable-next-line no-await-in-loop -- The failures follow each other.
			await runFor(test.timers, 10);
			assert.equal(new Set(serverIds).size, jobIds.length);
			for (const serverId of serverIds) {
				test.fleet.crashProcess(serverId);
			}
		}

		for (const jobId of jobIds) {
			// eslint-disable-next-line no-await-in-loop -- Time advances until all jobs have ended.
			await finish(test, jobId);
		}

		assert.deepEqual(Object.fromEntries(test.results), Object.fromEntries(jobIds.map(jobId => [jobId, {outcome: 'completed'}])));
	});

	// Guards against a suspicion of an earlier placer that stays, although the same incarnation answers the next placer at once.
	it('completes a job whose backend server refused an earlier placer and answers the next one', {todo}, async () => {
		const test = await createStartedPlacer();
		test.submit({...request, jobId: 'job'});
		const [firstId] = await findServerIds(test, ['job.0.0.0']);
		await runFor(test.timers, 10);
		test.fleet.refuseConnections(firstId!, 100);
		await runFor(test.timers, 80);
		test.placer.stop();
		await runFor(test.timers, 60);
		const successor = test.createSuccessor(2, 'second');
		test.usePlacer(successor);
		successor.setServers(test.fleet.getDescriptions(), 0);
		test.submit({...request, jobId: 'job'}, {generation: 1, handover: {placers: [{placerId: 'first', incarnation: 'one'}], registryDigest: ''}});
		await runFor(test.timers, 200);
		test.fleet.crashProcess(firstId!);
		await findServerIds(test, ['job.0.0.0']);
		await runFor(test.timers, 10);
		test.fleet.crashProcess(findServerId(test, 'job.0.0.0')!);
		await finish(test);
		assert.deepEqual(test.results.get('job'), {outcome: 'completed'});
	});

	// Guards against a suspicion that stays, although the first claim after a refused renewal is answered.
	it('completes a job whose backend server refuses a single connection', {todo}, async () => {
		const test = await createStartedPlacer({serverCount: 1, getDurationMs: taskName => (taskName.startsWith('short') ? 30 : durationMs)});
		test.submit({...request, jobId: 'short', steps: [{...step, estimateMs: 30}]});
		await runFor(test.timers, 20);
		test.submit({...request, jobId: 'job'});
		await runFor(test.timers, 5);
		let connections = 0;
		test.fleet.servers[0]!.fault = {
			get isRefusing() {
				connections++;
				return connections === 1;
			},
		};
		await runFor(test.timers, 200);
		const crashed = test.events.events.filter(({name}) => name === 'backend-server-crashed');
		const resolved = test.events.events.filter(({name}) => name === 'backend-server-crash-resolved');
		assert.equal(crashed.length, 1, 'the connection is refused');
		assert.deepEqual(resolved.map(({fields}) => fields.hasCrashed), [false]);
	});

	// Guards against backend servers that are assumed to have crashed although they are still heard as the same incarnation.
	it('completes a job that two backend servers refuse for longer than it takes to assume their crash', {todo}, async () => {
		const test = await createStartedPlacer();
		test.submit({...request, jobId: 'job'});
		const refusing = new Set<string>();
		for (let failure = 0; failure < 2; failure++) {
			const endMs = test.timers.getNowMs() + maxWaitMs;
			let serverId: string | undefined;
			while (serverId === undefined && test.timers.getNowMs() < endMs) {
				// eslint-disable-next-line no-await-in-loop -- Time advances until the task runs elsewhere.
				await runFor(test.timers, 0.5);
				serverId = test.fleet.servers.find(({runs, description}) => runs.has('job.0.0.0') && !refusing.has(description.id))?.description.id;
			}

			// eslint-disable-next-line no-await-in-loop -- The faults follow each other.
			await runFor(test.timers, 10);
			refusing.add(serverId!);
			test.fleet.refuseConnections(serverId!, 12_000);
		}

		await finish(test);
		assert.deepEqual(test.results.get('job'), {outcome: 'completed'});
	});
});
