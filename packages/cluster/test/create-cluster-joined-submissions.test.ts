import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import type {TestCluster} from './support/create-test-cluster.js';
import {ignoreAcknowledgement, startWithoutRoom} from './support/drive-cluster.js';

/**
 * Keeper-a has room only on `late`, which entry-b1 has recorded and entry-c1 has not, since keeper-a is cut off from entry-c1 in one direction.
 * The job of entry-b1 runs there when the same job reaches keeper-a through entry-c1.
 */
async function startJoined(): Promise<TestCluster> {
	const {test, late} = await startWithoutRoom(1500);

	// The successor reaches this one late.
	test.fleet.servers[0]!.fault = {isUnreachableFrom: daemonId => daemonId !== 'keeper-a'};
	await runFor(test.timers, 1500);
	test.network.cutLink('keeper-a', 'entry-c1');
	test.find('keeper-a').cluster.reportServer(late, ignoreAcknowledgement);
	await runFor(test.timers, 10);
	test.submit('entry-b1', 'job', {callerTimeoutMs: 4000});
	await runFor(test.timers, 60);
	assert.equal(test.fleet.records.length, 2);
	test.submit('entry-c1', 'job', {callerTimeoutMs: 4000});
	await runFor(test.timers, 30);
	for (const server of test.fleet.servers.slice(1)) {
		server.fault = {};
	}

	return test;
}

// Guards against a record that counts as complete although its entry daemon joined the job after the start.
describe('createCluster, when a job reaches a placer through a second entry daemon that has not recorded where it runs', () => {
	it('does not start it again after the placer and the first entry daemon are lost', async () => {
		const test = await startJoined();
		test.kill('keeper-a');
		test.kill('entry-b1');
		await runFor(test.timers, 3000);
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});

	it('does not start it again after the placer is lost while the first entry daemon hands it over', async () => {
		const test = await startJoined();
		test.kill('keeper-a');
		await runFor(test.timers, 3000);
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});

	it('does not start it again if the first entry daemon hands it over later than the second one', async () => {
		const test = await startJoined();
		test.network.cutLink('entry-b1', 'keeper-b');
		test.kill('keeper-a');
		await runFor(test.timers, 3000);
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});
});
