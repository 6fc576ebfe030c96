import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {ignoreAcknowledgement} from './support/drive-cluster.js';

/**
 * Lets keeper-a start a job of entry-b1 on a backend server that all daemons knew, and whose later reports have not reached keeper-b, the next
 * placer, nor the entry daemon for longer than a registry keeps a row.
 */
async function startOnExpiredServer(): Promise<TestCluster> {
	const test = createTestCluster({getDurationMs: () => 1000});
	const [expired, ...others] = test.fleet.getDescriptions();
	let sequence = 1;
	const report = () => {
		sequence++;
		test.find('keeper-c').cluster.reportServer({...expired!, sequence}, ignoreAcknowledgement);
		for (const description of others) {
			test.find('keeper-a').cluster.reportServer({...description, sequence}, ignoreAcknowledgement);
		}
	};

	report();
	await runFor(test.timers, 2000);
	for (const receiverId of ['keeper-b', 'entry-b1']) {
		test.network.cutLink('keeper-c', receiverId);
	}

	for (let passedMs = 0; passedMs < 45_000; passedMs += 1000) {
		report();
		// eslint-disable-next-line no-await-in-loop -- The reports follow each other in time.
		await runFor(test.timers, 1000);
	}

	for (const server of test.fleet.servers.slice(1)) {
		server.fault = {isUnreachableFrom: daemonId => daemonId === 'keeper-a'};
	}

	await runFor(test.timers, 600);
	test.submit('entry-b1', 'job');
	await runFor(test.timers, 50);
	const concerned = test.daemons.filter(({id}) => ['keeper-b', 'entry-b1'].includes(id));
	for (const {id, cluster} of concerned) {
		const announced = test.events.filter(({daemonId, name, fields}) => daemonId === id && name === 'backend-server-announced' && fields.server === expired!.id);
		assert.ok(announced.length > 1 || cluster.getStatus().serverCount === others.length, `the row has expired on ${id}`);
	}

	assert.deepEqual(test.fleet.records.map(({serverId, daemonId}) => [serverId, daemonId]), [[expired!.id, 'keeper-a'], [expired!.id, 'keeper-a']]);
	for (const server of test.fleet.servers) {
		server.fault = {};
	}

	return test;
}

// Guards against a registry that counts as complete although rows of it have expired since.
describe('createCluster, when reports reach the earlier placer only', () => {
	it('does not start a task again that runs on a backend server which the others have removed', async () => {
		const test = await startOnExpiredServer();
		test.find('keeper-a').cluster.startLeaving();
		await runFor(test.timers, 2500);
		assert.equal(test.find('entry-b1').cluster.getStatus().placerId, 'keeper-b');
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});
});
