import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {maxTerm} from '@camphortack/placement';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';

/** Lets one daemon receive a heartbeat that names a term, and submits a job later. */
async function replayTerm(term: number): Promise<TestCluster> {
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
		term,
		placerId: 'keeper-x',
		hearsPlacer: true,
		isLeaving: false,
		configurationNumber: 0,
	});
	await runFor(test.timers, 5000);
	test.submit('entry-b1', 'job');
	await runFor(test.timers, 2000);
	return test;
}

// Guards against a term that no daemon can exceed: the next placer's heartbeats were malformed, so that nobody followed it.
describe('createCluster, when a heartbeat names the largest integer as its term', () => {
	it('completes jobs after a heartbeat with a term that cannot be exceeded', async () => {
		const test = await replayTerm(Number.MAX_SAFE_INTEGER);
		assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}]);
	});

	// Guards against the same with a term that passes the check, and of which the next one does not.
	it('completes jobs after a heartbeat with the highest term that is accepted', async () => {
		const test = await replayTerm(maxTerm);
		assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}]);
	});
});
