import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster} from './support/create-test-cluster.js';

// Guards against a term that no daemon can exceed: the next placer's heartbeats were malformed, so that nobody followed it.
describe('createCluster, when a heartbeat names the largest integer as its term', () => {
	it('completes jobs after a heartbeat with a term that cannot be exceeded', async () => {
		const test = createTestCluster();
		test.reportServers();
		await runFor(test.timers, 2000);
		test.find('keeper-b').cluster.handlePeerMessage('keeper-x', {
			kind: 'cluster.heartbeat',
			availabilityZone: 'b',
			isKeeper: true,
			incarnation: 'odd',
			upMs: 1000,
			shard: '',
			term: Number.MAX_SAFE_INTEGER,
			placerId: 'keeper-x',
			hearsPlacer: true,
			isLeaving: false,
			configurationNumber: 0,
		});
		await runFor(test.timers, 5000);
		test.submit('entry-b1', 'job');
		await runFor(test.timers, 2000);
		assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}]);
	});
});
