import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster} from './support/create-test-cluster.js';
import {ignoreAcknowledgement} from './support/drive-cluster.js';

// Guards against a job that waits for a process which has ended to record backend servers.
describe('createCluster, when an entry daemon has restarted within its timeout', () => {
	for (const {restartMs, entryId} of [0, 300, 500, 1500].flatMap(restartMs => ['entry-c1', 'entry-b1'].map(entryId => ({restartMs, entryId})))) {
		it(`starts its waiting job for ${entryId} after ${restartMs} ms`, async () => {
			const test = createTestCluster();
			await runFor(test.timers, 2500);
			// No backend server yet: one without room would do as well.
			for (const description of test.fleet.getDescriptions().slice(1)) {
				test.find('keeper-a').cluster.reportServer({...description, state: 'draining'}, ignoreAcknowledgement);
			}

			await runFor(test.timers, 500);
			test.submit('entry-b1', 'job', {callerTimeoutMs: 5000, slackMs: 4000});
			await runFor(test.timers, 50);
			if (restartMs > 0) {
				test.kill('entry-b1');
			}

			await runFor(test.timers, restartMs);
			if (restartMs > 0) {
				test.restart('entry-b1');
				await runFor(test.timers, 50);
			}

			test.submit(entryId, 'job', {callerTimeoutMs: 5000, slackMs: 4000});
			await runFor(test.timers, 400);
			for (const description of test.fleet.getDescriptions()) {
				test.find('keeper-a').cluster.reportServer({...description, sequence: 9}, ignoreAcknowledgement);
			}

			await runFor(test.timers, 3500);
			assert.deepEqual(test.results.filter(({daemonId}) => daemonId === entryId).map(({result}) => result.outcome).slice(0, 1), ['completed']);
		});
	}
});
