import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import type {EntryJob} from '../src/index.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {startAndWaitUntilServing} from './support/drive-cluster.js';

const callerTimeoutMs = 60_000;
const durationMs = 20_000;
const reportIntervalMs = 500;
/** A run that has just started when its backend server crashes is suspected to be the cause. */
const newRunAgeMs = 10;
const replacementMs = 1500;
/** Longer than all leases and the margin of a takeover. */
const silenceMs = 3000;
const keeperIds = ['keeper-a', 'keeper-b', 'keeper-c'];

const job: Partial<EntryJob> = {
	steps: [{
		taskCount: 1, cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0, estimateMs: durationMs, dependsOn: [],
	}],
	callerTimeoutMs,
	slackMs: callerTimeoutMs,
};

async function runWithReports(test: TestCluster, totalMs: number): Promise<void> {
	for (let passedMs = 0; passedMs < totalMs; passedMs += reportIntervalMs) {
		test.reportServers();
		// eslint-disable-next-line no-await-in-loop -- Reports are sent over time.
		await runFor(test.timers, reportIntervalMs, 1);
	}
}

/** Replaces all keepers one after the other, as when a new version is installed. */
async function replaceKeepers(test: TestCluster): Promise<void> {
	for (const keeperId of keeperIds) {
		test.kill(keeperId);
		// eslint-disable-next-line no-await-in-loop -- Keepers are replaced one after the other.
		await runWithReports(test, replacementMs);
		test.restart(keeperId);
		// eslint-disable-next-line no-await-in-loop -- Keepers are replaced one after the other.
		await runWithReports(test, replacementMs);
	}
}

/** Cuts the backend servers of a zone off, the one that runs the job among them, until all leases are over. */
async function cutZoneOfRun({fleet, timers}: TestCluster): Promise<void> {
	const {serverId} = fleet.records.at(-1)!;
	const {availabilityZone} = fleet.servers.find(({description}) => description.id === serverId)!.description;
	const cut = fleet.servers.filter(({description}) => description.availabilityZone === availabilityZone);
	const faults = new Map(cut.map(server => [server, server.fault]));
	for (const server of cut) {
		server.fault = {isUnreachableFrom: () => true};
	}

	await runFor(timers, silenceMs, 1);
	for (const [server, fault] of faults) {
		server.fault = fault;
	}
}

describe('createCluster, beside daemons of an earlier version', () => {
	const groups = {'no daemon': [], 'one entry daemon': ['entry-a1'], 'the entry daemons of a zone': ['entry-a1', 'entry-a2']};
	for (const [title, earlierDaemonIds] of Object.entries(groups)) {
		// Guards against a job that is shown as failed after one crash, of which keepers learn once more in the words of the earlier version.
		it(`completes a job under which one backend server has crashed, after keepers were replaced and its run was cut off, with ${title} of that version`, async () => {
			const test = createTestCluster({getDurationMs: () => durationMs, earlierDaemonIds});
			await startAndWaitUntilServing(test);
			test.submit('entry-b1', 'job', job);
			await runFor(test.timers, newRunAgeMs);
			const [firstRun] = test.fleet.records;
			test.fleet.crashProcess(firstRun!.serverId);
			await runWithReports(test, 4000);
			await replaceKeepers(test);
			await cutZoneOfRun(test);
			await runWithReports(test, 2 * durationMs);
			assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}]);
			assert.equal(test.fleet.crashes.length, 1);
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}
});

describe('createCluster, with callers of one job at daemons of two versions', () => {
	/** Submits the job through a daemon of the earlier version, and then through one of the current version. */
	async function submitTwice(): Promise<{test: TestCluster; leave: () => void}> {
		const test = createTestCluster({getDurationMs: () => durationMs, earlierDaemonIds: ['entry-a1']});
		await startAndWaitUntilServing(test);
		const first = test.submit('entry-a1', 'job', job);
		await runFor(test.timers, 100);
		test.submit('entry-b1', 'job', job);
		await runFor(test.timers, 100);
		return {
			test,
			leave() {
				first.unsubscribe();
			},
		};
	}

	// Guards against a job that is shown as failed to a caller who has come again, since the earlier version cancels for all what one caller has left.
	it('does not show a job as failed when its caller has left a daemon of the earlier version', async () => {
		const {test, leave} = await submitTwice();
		leave();
		await runWithReports(test, 2 * reportIntervalMs);
		assert.deepEqual(test.results.map(({daemonId, result}) => [daemonId, result]), [['entry-b1', {outcome: 'unknown'}]]);
		assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), ['stopped']);
	});

	// Guards against a cancellation through a daemon of the earlier version that is taken for a caller that has left.
	it('stops a job that a daemon of the earlier version is asked to cancel, and does not start it again', async () => {
		const {test} = await submitTwice();
		const confirmations: boolean[] = [];
		test.find('entry-a1').cluster.cancel('job', isConfirmed => {
			confirmations.push(isConfirmed);
		});
		await runWithReports(test, 10 * reportIntervalMs);
		assert.deepEqual(confirmations, [true]);
		assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), ['stopped']);
		assert.deepEqual(test.results.map(({daemonId}) => daemonId).toSorted(), ['entry-a1', 'entry-b1']);
	});
});
