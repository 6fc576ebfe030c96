import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {replacePlacers, startAndWaitUntilServing} from './support/drive-cluster.js';

const fiveZones = ['a', 'b', 'c', 'd', 'e'];

/** Replaces the placer twice, so that the hints hold a term, and restarts a keeper that no other daemon is up to tell the term. */
async function restartAlone(isDiskLost: boolean): Promise<TestCluster> {
	const test = createTestCluster({availabilityZones: fiveZones});
	await startAndWaitUntilServing(test);
	await replacePlacers(test, 2);
	for (const {id} of test.daemons) {
		test.kill(id);
	}

	if (isDiskLost) {
		test.loseHints('keeper-e');
	}

	test.restart('keeper-e');
	await runFor(test.timers, 100);
	return test;
}

describe('createTestCluster', () => {
	// Guards against replays of five zones that have daemons or backend servers in three of them only.
	it('has one keeper, two entry daemons and backend servers in each of five availability zones', async () => {
		const test = createTestCluster({availabilityZones: fiveZones, serverCount: 10});
		await startAndWaitUntilServing(test);
		const counts = fiveZones.map(zone => ({
			daemonIds: test.daemons.filter(({availabilityZone}) => availabilityZone === zone).map(({id}) => id),
			serverCount: test.fleet.servers.filter(({description}) => description.availabilityZone === zone).length,
		}));
		assert.deepEqual(counts, fiveZones.map(zone => ({daemonIds: [`keeper-${zone}`, `entry-${zone}1`, `entry-${zone}2`], serverCount: 2})));
		assert.equal(test.getPlacer().cluster.getStatus().aliveMemberIds.length, 14);
	});

	// Guards against a lost disk that is lost only after the keeper has read its hints, or not at all.
	it('starts a keeper whose disk is lost without the term that it knew', async () => {
		const getTerm = (test: TestCluster) => test.find('keeper-e').cluster.getStatus().term;
		assert.ok(getTerm(await restartAlone(false)) > 1);
		assert.equal(getTerm(await restartAlone(true)), 0);
	});
});
