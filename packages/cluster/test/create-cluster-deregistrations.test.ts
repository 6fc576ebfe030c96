import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {ignoreAcknowledgement, startAndWaitUntilServing} from './support/drive-cluster.js';

describe('createCluster, when a backend server deregisters', () => {
	const longRequest = {
		steps: [{
			taskCount: 1, cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0, estimateMs: 900, dependsOn: [],
		}],
	};

	async function startLongJob(): Promise<{test: TestCluster; serverId: string}> {
		const test = createTestCluster({getDurationMs: () => 900});
		await startAndWaitUntilServing(test);
		test.submit('entry-a1', 'job', longRequest);
		await runFor(test.timers, 50);
		return {test, serverId: test.fleet.records[0]!.serverId};
	}

	// Guards against the deregistration of an earlier incarnation that arrives late: its sender's successor has the same id.
	it('keeps the runs of one that did not announce that it drains', async () => {
		const {test, serverId} = await startLongJob();
		test.find('keeper-b').cluster.removeServer(serverId);
		await runFor(test.timers, 1000);
		assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), ['done']);
		assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}]);
	});

	it('restarts the runs of one that drains only when it has ended', async () => {
		const {test, serverId} = await startLongJob();
		const description = test.fleet.getDescriptions().find(({id}) => id === serverId)!;
		const keeper = test.find('keeper-b').cluster;
		keeper.reportServer({...description, state: 'draining', sequence: 1000}, ignoreAcknowledgement);
		await runFor(test.timers, 20);
		keeper.removeServer(serverId);
		await runFor(test.timers, 30);
		test.fleet.crash(serverId);
		await runFor(test.timers, 500);
		assert.deepEqual(test.fleet.findOverlaps(), []);
		assert.equal(test.fleet.records.length, 2, 'the task was restarted soon after the end');
		await runFor(test.timers, 900);
		assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}]);
	});
});
