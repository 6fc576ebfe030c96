import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {countOutcomes, startAndWaitUntilServing, submitFor} from './support/drive-cluster.js';

const intervalMs = 25;
/** Within this time a daemon that others can reach knows of an evacuation. */
const spreadMs = 600;

/** Tells some daemons what the keepers have agreed on. */
function setEvacuations(test: TestCluster, daemonIds: readonly string[], revision: number, availabilityZones: string[]): void {
	for (const {cluster} of test.daemons.filter(({id}) => daemonIds.includes(id))) {
		cluster.setEvacuations({revision, availabilityZones});
	}
}

function countStarts(test: TestCluster, availabilityZone: string, sinceMs: number): number {
	const ids = new Set(test.fleet.getDescriptions().filter(description => description.availabilityZone === availabilityZone).map(({id}) => id));
	return test.fleet.records.filter(({serverId, startedAtMs}) => ids.has(serverId) && startedAtMs >= sinceMs).length;
}

async function startDivided(): Promise<TestCluster> {
	const test = createTestCluster({serverCount: 105});
	await startAndWaitUntilServing(test);
	await runFor(test.timers, 2500, 1);
	return test;
}

describe('an evacuation in a deployment with one placer', () => {
	it('leads to no start in the availability zone and to no loss, until it is withdrawn', async () => {
		const test = createTestCluster();
		await startAndWaitUntilServing(test);
		setEvacuations(test, ['keeper-b'], 1, ['a']);
		await submitFor(test, spreadMs, intervalMs, 'first');
		const evacuatedAtMs = test.timers.getNowMs();
		await submitFor(test, 1000, intervalMs, 'during');
		assert.equal(countStarts(test, 'a', evacuatedAtMs), 0);
		const withdrawnAtMs = test.timers.getNowMs();
		setEvacuations(test, ['keeper-c'], 2, []);
		await submitFor(test, 1000, intervalMs, 'after');
		await runFor(test.timers, 500);
		assert.ok(countStarts(test, 'a', withdrawnAtMs) > 10);
		assert.deepEqual([countOutcomes(test, 'first'), countOutcomes(test, 'during'), countOutcomes(test, 'after')], [{completed: 24}, {completed: 40}, {completed: 40}]);
	});

	// Guards against a placer that was suspended and starts tasks before it reads what it missed.
	it('holds for a placer that was suspended for 2 s meanwhile', async () => {
		const test = createTestCluster();
		await startAndWaitUntilServing(test);
		const placer = test.getPlacer();
		placer.timers.pause();
		setEvacuations(test, test.daemons.filter(({id}) => id !== placer.id).map(({id}) => id), 1, ['a']);
		await submitFor(test, 2000, intervalMs, 'paused');
		const resumedAtMs = test.timers.getNowMs();
		placer.timers.resume();
		await submitFor(test, 1000, intervalMs, 'resumed');
		await runFor(test.timers, 500);
		assert.equal(countStarts(test, 'a', resumedAtMs), 0);
		assert.deepEqual(placer.cluster.getEvacuations(), {revision: 1, availabilityZones: ['a']});
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});
});

describe('an evacuation in a deployment with a placer in each availability zone', () => {
	it('forwards the jobs of the availability zone, and refuses them at once while the zone is cut off', async () => {
		const test = await startDivided();
		setEvacuations(test, ['keeper-c'], 1, ['a']);
		await submitFor(test, spreadMs, intervalMs, 'first');
		const evacuatedAtMs = test.timers.getNowMs();
		await submitFor(test, 4000, 100, 'during');
		await runFor(test.timers, 300, 1);
		assert.equal(countStarts(test, 'a', evacuatedAtMs), 0);
		assert.deepEqual([countOutcomes(test, 'first'), countOutcomes(test, 'during')], [{completed: 24}, {completed: 40}]);
		test.isolateZone('a');
		await runFor(test.timers, 1000, 1);
		const submittedAtMs = test.timers.getNowMs();
		test.submit('entry-a1', 'cut-off');
		await runFor(test.timers, 10);
		const found = test.results.find(({jobId}) => jobId === 'cut-off');
		assert.deepEqual([found?.result.outcome, found?.atMs], ['refused', submittedAtMs]);
	});

	// Guards against a new placer that places where the old one no longer did: no other daemon of the zone has heard of the evacuation.
	it('holds after a takeover, although only the old placer of the zone knew of it', async () => {
		const test = await startDivided();
		const {placerId} = test.find('entry-a1').cluster.getStatus();
		test.kill(placerId);
		setEvacuations(test, ['keeper-b', 'keeper-c'].filter(id => id !== placerId), 1, ['a']);
		await submitFor(test, 1000, intervalMs, 'takeover');
		const tookOverAtMs = test.timers.getNowMs();
		assert.notEqual(test.find('entry-a1').cluster.getStatus().placerId, placerId);
		await submitFor(test, 1000, intervalMs, 'after');
		await runFor(test.timers, 500, 1);
		assert.equal(countStarts(test, 'a', tookOverAtMs), 0);
		assert.deepEqual(countOutcomes(test, 'after'), {completed: 40});
	});

	// Guards against a zone that goes on with what it knew when it was cut off.
	it('comes into force in a zone that was cut off when the cut ends', async () => {
		const test = await startDivided();
		test.isolateZone('a');
		await runFor(test.timers, 500, 1);
		setEvacuations(test, ['keeper-b', 'keeper-c'], 1, ['a']);
		await submitFor(test, 500, intervalMs, 'cut');
		assert.ok(countStarts(test, 'a', test.timers.getNowMs() - 300) > 0, 'each side goes on with what it knows');
		test.heal();
		await submitFor(test, 1500, intervalMs, 'healed');
		const healedAtMs = test.timers.getNowMs();
		await submitFor(test, 1000, intervalMs, 'after');
		await runFor(test.timers, 500, 1);
		assert.equal(countStarts(test, 'a', healedAtMs), 0);
		assert.deepEqual(countOutcomes(test, 'after'), {completed: 40});
	});
});
