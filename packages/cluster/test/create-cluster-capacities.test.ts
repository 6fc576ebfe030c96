import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {ignoreAcknowledgement, startAndWaitUntilServing} from './support/drive-cluster.js';

const heartbeatMs = 1500;
/** The time after which a shrunk capacity must be kept: a settling time of 3 s and one heartbeat. */
const shrinkSettlingMs = 4500;
const shrunkMillicores = 30_000;

/** Shrinks a backend server, which reports itself to a keeper at its usual interval until the capacity must be kept. */
async function shrinkServer(test: TestCluster, {serverId, keeperId, mayReport = true}: {serverId: string; keeperId: string; mayReport?: boolean}): Promise<void> {
	const keeper = test.daemons.find(({id}) => id === keeperId)!;
	const server = test.fleet.servers.find(({description}) => description.id === serverId)!;
	server.description = {...server.description, cpuMillicores: shrunkMillicores};
	for (let passedMs = 0; passedMs < shrinkSettlingMs; passedMs += heartbeatMs) {
		server.description = {...server.description, sequence: server.description.sequence + 100};
		if (mayReport) {
			keeper.cluster.reportServer(server.description, ignoreAcknowledgement);
		}

		// eslint-disable-next-line no-await-in-loop -- Heartbeats are sent over time.
		await runFor(test.timers, heartbeatMs);
	}
}

/** Offers every backend server more work than it holds, and checks that none takes more than its capacity. */
async function assertCapacitiesKept(test: TestCluster): Promise<void> {
	for (let number = 0; number < 30; number++) {
		test.submit('entry-a1', `job-${number}`, {slackMs: 500});
	}

	await runFor(test.timers, 1000);
	assert.ok(test.fleet.records.length > 0, 'some tasks have run');
	assert.ok(test.fleet.getPeakUtilization() <= 1, `peak utilization ${test.fleet.getPeakUtilization()}`);
}

describe('createCluster, with a backend server whose capacity shrinks', () => {
	it('starts no more there than fits', async () => {
		const test = createTestCluster();
		await startAndWaitUntilServing(test);
		await shrinkServer(test, {serverId: 'server-4', keeperId: 'keeper-b'});
		await assertCapacitiesKept(test);
	});

	// Guards against a capacity that only the daemon knows which received the heartbeat, because its message to the placer was lost.
	it('starts no more there than fits, although the first message about it is lost', async () => {
		const test = createTestCluster();
		await startAndWaitUntilServing(test);
		const placerId = test.getPlacer().id;
		const keeperId = ['keeper-a', 'keeper-b', 'keeper-c'].find(id => id !== placerId)!;
		test.network.cutLink(keeperId, placerId);
		const shrinking = shrinkServer(test, {serverId: 'server-4', keeperId});
		await runFor(test.timers, 200);
		test.network.healLinks();
		await shrinking;
		await assertCapacitiesKept(test);
	});

	// Guards against the old capacity in the registry of a daemon that becomes the placer.
	it('starts no more there than fits under a placer that missed the message', async () => {
		const test = createTestCluster();
		await startAndWaitUntilServing(test);
		const placerId = test.getPlacer().id;
		const [keeperId, nextId] = ['keeper-a', 'keeper-b', 'keeper-c'].filter(id => id !== placerId);
		test.network.cutLink(keeperId!, nextId!);
		const shrinking = shrinkServer(test, {serverId: 'server-4', keeperId: keeperId!});
		await runFor(test.timers, 200);
		test.network.healLinks();
		await runFor(test.timers, 2000);
		test.kill(placerId);
		test.kill(keeperId!);
		await shrinking;
		await assertCapacitiesKept(test);
	});

	// Guards against a capacity that shrinks while nobody hears the backend server, in a deployment where capacities are known to change.
	it('starts nothing there while no daemon hears its heartbeats', async () => {
		const test = createTestCluster();
		await startAndWaitUntilServing(test);
		await shrinkServer(test, {serverId: 'server-0', keeperId: 'keeper-a'});
		await shrinkServer(test, {serverId: 'server-4', keeperId: 'keeper-b', mayReport: false});
		test.reportServers();
		await shrinkServer(test, {serverId: 'server-8', keeperId: 'keeper-b', mayReport: false});
		for (const {description} of test.fleet.servers.filter(server => server.description.id !== 'server-8')) {
			test.find('keeper-a').cluster.reportServer({...description, sequence: 10_000}, ignoreAcknowledgement);
		}

		await runFor(test.timers, 300);
		await assertCapacitiesKept(test);
		assert.ok(test.fleet.records.every(({serverId}) => serverId !== 'server-8'));
	});
});
