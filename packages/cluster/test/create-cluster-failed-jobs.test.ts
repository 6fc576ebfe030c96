import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {RunRecord} from '../../placement/test/support/fake-server.js';
import {runFor} from '../../placement/test/support/run-for.js';
import type {EntryJob} from '../src/index.js';
import {createTestCluster, type TestCluster, type TestClusterOptions} from './support/create-test-cluster.js';
import {startAndWaitUntilServing} from './support/drive-cluster.js';

const callerTimeoutMs = 60_000;
const reportIntervalMs = 500;
const durationMs = 1500;
const maxWaitMs = 30_000;
const refusalMs = 300;
const lossCount = 3;

const job: Partial<EntryJob> = {
	steps: [{
		taskCount: 1, cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0, estimateMs: durationMs, dependsOn: [],
	}],
	callerTimeoutMs,
	slackMs: callerTimeoutMs,
};

async function createServingCluster(options: TestClusterOptions = {}): Promise<TestCluster> {
	const test = createTestCluster({getDurationMs: () => durationMs, ...options});
	await startAndWaitUntilServing(test);
	return test;
}

/** Reports the backend servers at their usual interval, until a condition holds or the job has ended. */
async function runUntil(test: TestCluster, isReached: () => boolean): Promise<void> {
	for (let passedMs = 0; passedMs < maxWaitMs && test.results.length === 0 && !isReached(); passedMs++) {
		if (passedMs % reportIntervalMs === 0) {
			test.reportServers();
		}

		// eslint-disable-next-line no-await-in-loop -- Virtual time advances step by step.
		await runFor(test.timers, 1, 1);
	}
}

/** Finds the run of the job if it has at least a certain age. */
function findRun({fleet, timers}: TestCluster, minAgeMs: number): RunRecord | undefined {
	return fleet.records.find(({endedAtMs, startedAtMs}) => endedAtMs === undefined && timers.getNowMs() - startedAtMs >= minAgeMs);
}

/** Crashes the backend server that runs the job, and three others at the same moment, as soon as the run has a certain age. */
async function failServers(test: TestCluster, ageMs: number): Promise<void> {
	const {fleet} = test;
	await runUntil(test, () => findRun(test, ageMs) !== undefined);
	const run = findRun(test, ageMs);
	if (run === undefined) {
		return;
	}

	const others = fleet.servers.filter(({description, fault}) => description.id !== run.serverId && !fault.isRefusing).slice(0, 3);
	for (const id of [run.serverId, ...others.map(({description}) => description.id)]) {
		fleet.crashProcess(id);
	}
}

/** Stops the placer's process for long enough that another daemon takes over. */
async function replacePlacer(test: TestCluster): Promise<void> {
	const {id} = test.getPlacer();
	test.kill(id);
	await runFor(test.timers, 700, 1);
	test.restart(id);
}

function assertCompleted({fleet, results, events}: TestCluster): void {
	assert.deepEqual(results.map(({result}) => result), [{outcome: 'completed'}]);
	assert.deepEqual(events.filter(({name}) => name === 'task-given-up').map(({fields}) => fields), []);
	assert.deepEqual(fleet.findOverlaps(), []);
}

describe('createCluster, with a job that could be done', () => {
	const failures = [
		{title: 'runs that are old', agesMs: [900, 900, 900], isPlacerReplaced: false},
		{title: 'runs that have only just started', agesMs: [5, 12, 20], isPlacerReplaced: false},
		{title: 'each noticed by another placer', agesMs: [900, 900, 900], isPlacerReplaced: true},
	];
	for (const {title, agesMs, isPlacerReplaced} of failures) {
		// Guards against a job that is shown as failed because its task was on three racks that failed, whichever placers noticed it.
		it(`completes a job after three failures of several backend servers: ${title}`, async () => {
			const test = await createServingCluster();
			const placerIds = new Set<string>();
			test.submit('entry-a1', 'job', job);
			for (const ageMs of agesMs) {
				// eslint-disable-next-line no-await-in-loop -- The failures follow each other.
				await failServers(test, ageMs);
				placerIds.add(test.getPlacer().id);
				if (isPlacerReplaced) {
					// eslint-disable-next-line no-await-in-loop -- The next placer adopts the next run.
					await runUntil(test, () => findRun(test, 0) !== undefined);
					// eslint-disable-next-line no-await-in-loop -- Placers are replaced one after the other.
					await replacePlacer(test);
				}
			}

			await runUntil(test, () => false);
			assertCompleted(test);
			assert.equal(placerIds.size > 1, isPlacerReplaced);
		});
	}

	// Guards against a job that is shown as failed because three backend servers refused its start for a moment.
	it('answers a caller with the result of a job whose start was refused by three backend servers', async () => {
		const serverIds = new Set<string>();
		const test = await createServingCluster({
			onStartRequest({description}) {
				if (serverIds.size < lossCount && !serverIds.has(description.id)) {
					serverIds.add(description.id);
					test.fleet.refuseConnections(description.id, refusalMs);
				}
			},
		});
		test.submit('entry-a1', 'job', job);
		await runUntil(test, () => false);
		assertCompleted(test);
		assert.equal(test.fleet.records.length, 1);
	});
});

describe('createCluster, with callers of one job at two entry daemons', () => {
	async function submitTwice(): Promise<{test: TestCluster; leave: Record<'first' | 'second', () => void>}> {
		const test = await createServingCluster();
		const first = test.submit('entry-a1', 'job', job);
		await runFor(test.timers, 100);
		const second = test.submit('entry-b1', 'job', job);
		await runFor(test.timers, 100);
		return {
			test,
			leave: {
				first() {
					first.unsubscribe();
				},
				second() {
					second.unsubscribe();
				},
			},
		};
	}

	function getResults({results}: TestCluster): Record<string, unknown> {
		return Object.fromEntries(results.map(({daemonId, result}) => [daemonId, result]));
	}

	const departures = [
		{leaving: 'first', remainingId: 'entry-b1'},
		{leaving: 'second', remainingId: 'entry-a1'},
	] as const;
	for (const {leaving, remainingId} of departures) {
		// Guards against a job that is shown as failed to a caller whose other connection, at another entry daemon, breaks late.
		it(`completes the job for the caller that remains when the ${leaving} one leaves`, async () => {
			const {test, leave} = await submitTwice();
			leave[leaving]();
			await runFor(test.timers, 2 * durationMs);
			assert.deepEqual(getResults(test), {[remainingId]: {outcome: 'completed'}});
			assert.equal(test.fleet.records.length, 1);
		});
	}

	// Guards against a job that runs on after all of its callers have left.
	it('stops the job when both callers have left', async () => {
		const {test, leave} = await submitTwice();
		leave.first();
		await runFor(test.timers, 20);
		leave.second();
		await runFor(test.timers, 2 * durationMs);
		assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), ['stopped']);
	});

	for (const zone of ['a', 'b', 'c']) {
		// Guards against an explicit cancellation that is taken for a caller that has left.
		it(`ends the job for both callers when entry-${zone}1 is asked to cancel it`, async () => {
			const {test} = await submitTwice();
			const confirmations: boolean[] = [];
			test.find(`entry-${zone}1`).cluster.cancel('job', isConfirmed => {
				confirmations.push(isConfirmed);
			});
			await runFor(test.timers, 2 * durationMs);
			assert.deepEqual(confirmations, [true]);
			assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), ['stopped']);
			assert.deepEqual(getResults(test), {'entry-a1': {outcome: 'failed', reason: 'cancelled'}, 'entry-b1': {outcome: 'failed', reason: 'cancelled'}});
		});
	}
});
