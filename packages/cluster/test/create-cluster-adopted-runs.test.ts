import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import type {TestCluster} from './support/create-test-cluster.js';
import {ignoreAcknowledgement, startWithoutRoom} from './support/drive-cluster.js';

/**
 * A job of entry-b1 runs on `late`, which keeper-a and entry-b1 alone know, and both are lost. keeper-b learns of `late` just after the link to
 * entry-c1 was cut in one direction, and the same job reaches it through entry-c1: it adopts the run.
 */
async function adoptUnrecorded(): Promise<TestCluster> {
	const {test, late} = await startWithoutRoom(3000);

	test.fleet.servers[0]!.fault = {isUnreachableFrom: daemonId => daemonId === 'keeper-c'};
	await runFor(test.timers, 1500);
	for (const {id} of test.daemons.filter(({id}) => id !== 'keeper-a' && id !== 'entry-b1')) {
		test.network.cutLink('keeper-a', id);
	}

	test.find('keeper-a').cluster.reportServer(late, ignoreAcknowledgement);
	await runFor(test.timers, 10);
	test.submit('entry-b1', 'job', {callerTimeoutMs: 6000});
	await runFor(test.timers, 100);
	assert.equal(test.fleet.records.length, 2);
	test.kill('keeper-a');
	test.kill('entry-b1');
	await runFor(test.timers, 550);
	assert.equal(test.find('entry-c1').cluster.getStatus().placerId, 'keeper-b');
	test.network.cutLink('keeper-b', 'entry-c1');
	test.find('keeper-b').cluster.reportServer(late, ignoreAcknowledgement);
	await runFor(test.timers, 10);
	test.submit('entry-c1', 'job', {callerTimeoutMs: 6000});
	await runFor(test.timers, 50);
	assert.equal(test.fleet.records.length, 2, 'the runs were adopted');
	return test;
}

// Guards against a second run of a task that a placer has adopted, not started, so that its start was not held for the record.
describe('createCluster, when a placer adopts a run on a backend server that the entry daemon of the job has not recorded', () => {
	it('is not started again by the next placer', async () => {
		const test = await adoptUnrecorded();
		test.kill('keeper-b');
		await runFor(test.timers, 3000);
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});
});
