import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {BackendServerClient} from '../../src/index.js';
import {createTestPlacer, defaultRequest, type TestPlacer} from '../support/create-test-placer.js';
import type {FakeFleetOptions} from '../support/fake-fleet.js';
import {runFor} from '../support/run-for.js';

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
const shortStep = {
	...step, taskCount: 8, cpuMillicores: 1000, mostPerServer: 1, estimateMs: 30,
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
		it(`gives a job up of which two tasks crash their backend servers ${isCrashSilent ? 'silently' : 'late'} at the same time`, async () => {
			const test = isCrashSilent
				? await createStartedPlacer({isCrashSilent, isDeadly: taskName => taskName.startsWith('deadly')})
				: await createLateCrashes();
			test.submit({...request, jobId: 'deadly', steps: [{...step, taskCount: 2, cpuMillicores: 40_000}]});
			await finish(test, 'deadly');
			assert.ok(countStarts(test, 'deadly.0.0.0') <= maxStarts, `${countStarts(test, 'deadly.0.0.0')} starts`);
		});
	}

	// Guards against a task that crashes its backend servers late, where other tasks have always just started.
	it('gives a task up that crashes its backend servers late, while others start there', async () => {
		const test = await createLateCrashes();
		test.submit({...request, jobId: 'deadly'});
		for (let position = 0; position < 2000 && !test.results.has('deadly'); position++) {
			test.submit({...request, jobId: `short-${position}`, steps: [shortStep]});
			// eslint-disable-next-line no-await-in-loop -- Jobs arrive over time.
			await runFor(test.timers, 15);
		}

		assert.ok(countStarts(test, 'deadly.0.0.0') <= maxStarts, `${countStarts(test, 'deadly.0.0.0')} starts`);
	});
});

/** Removes the incarnation from the responses to renewals, as backend servers may that do not report it there. */
function hideIncarnations(client: BackendServerClient): BackendServerClient {
	return new class extends BackendServerClient {
		override async start(...parameters: Parameters<BackendServerClient['start']>): ReturnType<BackendServerClient['start']> {
			return client.start(...parameters);
		}

		override async stop(...parameters: Parameters<BackendServerClient['stop']>): ReturnType<BackendServerClient['stop']> {
			return client.stop(...parameters);
		}

		override async renew(...parameters: Parameters<BackendServerClient['renew']>): ReturnType<BackendServerClient['renew']> {
			const response = await client.renew(...parameters);
			return response.outcome === 'accepted' ? {...response, bornMs: undefined} : response;
		}

		override disconnect(): void {
			// The fake has no connections.
		}
	}();
}

describe('a placer whose backend servers do not report their incarnations in renewals', () => {
	// Guards against a crash that is refuted by the next incarnation, so that a task crashes backend servers without a limit.
	it('gives a deadly task up when heartbeats of the next incarnations arrive late', async () => {
		const test = await createStartedPlacer({
			serverCount: 3,
			isDeadly: () => true,
			onRestart() {
				const descriptions = test.fleet.getDescriptions();
				test.timers.addTimer(500, () => {
					successor.setServers(descriptions, 0);
				});
			},
		});
		test.placer.stop();
		const successor = test.createSuccessor(2, 'second', 2, {wrapClient: hideIncarnations});
		test.usePlacer(successor);
		successor.setServers(test.fleet.getDescriptions(), 0);
		await runFor(test.timers, 20);
		test.submit({...request, jobId: 'job'});
		await finish(test);
		assert.ok(countStarts(test, 'job.0.0.0') <= maxStarts, `${countStarts(test, 'job.0.0.0')} starts`);
	});
});

describe('a placer with tasks that crash no backend server', () => {
	// Guards against jobs that are given up because each backend server that failed had a new run.
	it('completes jobs that have just started when their backend servers fail together, twice', async () => {
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
	it('completes a job whose backend server refused an earlier placer and answers the next one', async () => {
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
		test.submit({...request, jobId: 'job'}, {generation: 1, handover: {entryId: 'entry', placers: [{placerId: 'first', incarnation: 'one'}], registryDigest: ''}});
		await runFor(test.timers, 200);
		test.fleet.crashProcess(firstId!);
		await findServerIds(test, ['job.0.0.0']);
		await runFor(test.timers, 10);
		test.fleet.crashProcess(findServerId(test, 'job.0.0.0')!);
		await finish(test);
		assert.deepEqual(test.results.get('job'), {outcome: 'completed'});
	});

	// Guards against a suspicion that stays, although the first claim after a refused renewal is answered.
	it('completes a job whose backend server refuses a single connection', async () => {
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
	it('completes a job that two backend servers refuse for longer than it takes to assume their crash', async () => {
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

	// Guards against a job that is failed while its task is at work, because of crashes that become known late.
	it('completes a job whose task is at work when its earlier crashes are confirmed', async () => {
		const test = await createStartedPlacer();
		test.submit({...request, jobId: 'job'});
		await findServerIds(test, ['job.0.0.0']);
		await runFor(test.timers, 200);
		for (let runNumber = 1; runNumber <= 2; runNumber++) {
			test.crashRegister.addRecord({
				taskName: 'job.0.0.0', queueName: 'estimates', serverId: 'gone', bornMs: runNumber, runNumber, isSuspect: true, evidence: 'strong', state: 'confirmed', ageMs: 5000,
			});
		}

		await finish(test);
		assert.deepEqual(test.results.get('job'), {outcome: 'completed'});
	});

	// Guards against a task that never starts again after a plain crash, because other tasks start on all backend servers all the time.
	it('completes a job whose backend server crashed once, while others start on all of them', async () => {
		const test = await createStartedPlacer({getDurationMs: taskName => (taskName.startsWith('short') ? 30 : 200)});
		test.submit({...request, jobId: 'job'});
		const [serverId] = await findServerIds(test, ['job.0.0.0']);
		await runFor(test.timers, 10);
		test.fleet.crashProcess(serverId!);
		for (let position = 0; position < 1000 && !test.results.has('job'); position++) {
			test.submit({...request, jobId: `short-${position}`, steps: [shortStep]});
			// eslint-disable-next-line no-await-in-loop -- Jobs arrive over time.
			await runFor(test.timers, 15);
		}

		assert.deepEqual([test.results.get('job'), countStarts(test, 'job.0.0.0')], [{outcome: 'completed'}, 2]);
	});

	// Guards against records of other placers' crashes that nobody can resolve, for which a job is held until its caller leaves.
	it('completes a job whose backend servers an earlier placer lost, and that are back as other incarnations', async () => {
		const test = await createStartedPlacer({isCrashSilent: true, serverCount: 4});
		test.placer.stop();
		const register = test.crashRegister;
		for (let runNumber = 1; runNumber <= 5; runNumber++) {
			register.addRecord({
				taskName: 'job.0.0.0', queueName: 'estimates', serverId: 'server-0', bornMs: -runNumber, runNumber, isSuspect: false, evidence: 'weak', state: 'suspected', ageMs: 5000,
			});
		}

		const successor = test.createSuccessor(2, 'second');
		test.usePlacer(successor);
		successor.setServers(test.fleet.getDescriptions(), 0);
		await runFor(test.timers, 20);
		test.submit({...request, jobId: 'job'});
		await finish(test);
		assert.ok(test.results.has('job'), 'the job has a result');
	});
});
