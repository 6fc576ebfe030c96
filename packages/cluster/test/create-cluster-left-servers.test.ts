import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster} from './support/create-test-cluster.js';
import {ignoreAcknowledgement} from './support/drive-cluster.js';

// Guards against a deregistration that counts as the end of the runs on a backend server.
describe('createCluster, when a backend server has deregistered while a task runs there', () => {
	it('does not start it again at the next placer', async () => {
		const test = createTestCluster({getDurationMs: () => 2000});
		await runFor(test.timers, 1500);
		test.reportServers();
		await runFor(test.timers, 500);
		test.submit('entry-b1', 'job', {callerTimeoutMs: 4000});
		await runFor(test.timers, 50);
		const ids = new Set(test.fleet.records.map(({serverId}) => serverId));
		for (const description of test.fleet.getDescriptions().filter(({id}) => ids.has(id))) {
			test.find('keeper-c').cluster.reportServer({...description, state: 'draining', sequence: 5}, ignoreAcknowledgement);
		}

		await runFor(test.timers, 50);
		for (const id of ids) {
			test.find('keeper-c').cluster.removeServer(id);
		}

		await runFor(test.timers, 100);
		test.kill('keeper-a');
		await runFor(test.timers, 3000);
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});
});
