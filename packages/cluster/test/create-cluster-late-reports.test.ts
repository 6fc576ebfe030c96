import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {ignoreAcknowledgement} from './support/drive-cluster.js';

/**
 * Lets keeper-a start a job of entry-b1 on a backend server that was reported to keeper-c after the registries had been exchanged, and
 * whose report reached neither keeper-b, the next placer, nor the entry daemon.
 */
async function startOnLateServer(): Promise<TestCluster> {
	const test = createTestCluster({getDurationMs: () => 1000});
	const [late, ...others] = test.fleet.getDescriptions();
	for (const description of others) {
		test.find('keeper-a').cluster.reportServer(description, ignoreAcknowledgement);
	}

	await runFor(test.timers, 2000);
	for (const receiverId of ['keeper-b', 'entry-b1']) {
		test.network.cutLink('keeper-c', receiverId);
	}

	for (const server of test.fleet.servers.slice(1)) {
		server.fault = {isUnreachableFrom: daemonId => daemonId === 'keeper-a'};
	}

	await runFor(test.timers, 600);
	test.find('keeper-c').cluster.reportServer(late!, ignoreAcknowledgement);
	await runFor(test.timers, 50);
	test.submit('entry-b1', 'job');
	await runFor(test.timers, 50);
	assert.deepEqual(test.fleet.records.map(({serverId, daemonId}) => [serverId, daemonId]), [[late!.id, 'keeper-a'], [late!.id, 'keeper-a']]);
	for (const server of test.fleet.servers) {
		server.fault = {};
	}

	return test;
}

/** Waits until keeper-b has replaced keeper-a, and checks that the job is done once. */
async function assertRunsOnce(test: TestCluster): Promise<void> {
	await runFor(test.timers, 2500);
	assert.equal(test.find('entry-b1').cluster.getStatus().placerId, 'keeper-b');
	assert.deepEqual(test.fleet.findOverlaps(), []);
	assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}]);
}

// Guards against a registry that counts as complete although its sender has learned of more backend servers since.
describe('createCluster, when only the earlier placer received a report', () => {
	it('does not start a task again that runs on a backend server which nobody else knows when that placer leaves', async () => {
		const test = await startOnLateServer();
		test.find('keeper-a').cluster.startLeaving();
		await assertRunsOnce(test);
	});

	it('does not start a task again that runs on a backend server which nobody else knows when that placer is lost', async () => {
		const test = await startOnLateServer();
		test.kill('keeper-a');
		await assertRunsOnce(test);
	});
});
