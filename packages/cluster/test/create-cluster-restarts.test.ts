import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';

/** How often backend servers report. */
const reportIntervalMs = 1500;

function getServerCounts(test: TestCluster): number[] {
	return test.daemons.map(({cluster}) => cluster.getStatus().serverCount);
}

describe('createCluster, after a restart of all daemons', () => {
	const rows = [
		{name: 'the requests for its registry', isOutgoingCut: false},
		{name: 'its answers and its reports', isOutgoingCut: true},
	];
	for (const {name, isOutgoingCut} of rows) {
		// Guards against placers that know only some of their backend servers for ten seconds, because messages were lost while links were opened.
		it(`knows all backend servers soon after the daemon that they report to was reachable, if ${name} were lost`, async () => {
			const test = createTestCluster();
			for (const {id} of test.daemons.filter(daemon => daemon.id !== 'keeper-a')) {
				test.network.cutLink(isOutgoingCut ? 'keeper-a' : id, isOutgoingCut ? id : 'keeper-a');
			}

			await runFor(test.timers, 400);
			test.reportServers();
			await runFor(test.timers, 400);
			test.network.healLinks();
			await runFor(test.timers, reportIntervalMs - 400);
			test.reportServers();
			await runFor(test.timers, 50);
			assert.deepEqual(getServerCounts(test), test.daemons.map(() => test.fleet.servers.length));
		});
	}

	// Guards against reports that are sent again for ever.
	it('stops repeating reports when all daemons have been up for a while', async () => {
		const test = createTestCluster();
		test.reportServers();
		await runFor(test.timers, 2000);
		test.reportServers();
		await runFor(test.timers, 100);
		/** The interval is a multiple of those of all regular messages. */
		const countMessages = async () => {
			const before = test.network.totals.sentMessages;
			await runFor(test.timers, 3000);
			return test.network.totals.sentMessages - before;
		};

		const countWithoutReports = await countMessages();
		test.reportServers();
		assert.equal(await countMessages(), countWithoutReports);
	});
});
