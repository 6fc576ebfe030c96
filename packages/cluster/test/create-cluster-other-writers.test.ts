import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {countOutcomes, ignoreAcknowledgement, startAndWaitUntilServing} from './support/drive-cluster.js';

const yearMs = 31_536_000_000;

/** Announces another incarnation under the id of a backend server, as another writer does, at a keeper. */
function announceOther(test: TestCluster, position: number, host: string | undefined): void {
	const {description} = test.fleet.servers[position]!;
	test.find('keeper-b').cluster.reportServer({
		...description, host: host ?? description.host, bornMs: description.bornMs + yearMs, sequence: 1,
	}, ignoreAcknowledgement);
}

describe('createCluster, when another writer announces an incarnation born later under the id of a backend server in use', () => {
	const rows: Array<{title: string; host: string | undefined}> = [
		{title: 'at an address where nothing responds', host: '10.99.0.1'},
		{title: 'at its address', host: undefined},
	];
	for (const {title, host} of rows) {
		// Guards against a second run: the placer took the announcement for the end of the runs there and started them elsewhere.
		it(`starts no task twice, ${title}`, async () => {
			const test = createTestCluster({getDurationMs: () => 700});
			await startAndWaitUntilServing(test);
			for (let number = 0; number < 4; number++) {
				test.submit(`entry-a${(number % 2) + 1}`, `job-${number}`, {slackMs: 1500, callerTimeoutMs: 5000});
			}

			await runFor(test.timers, 100);
			// The others have room for the tasks of these.
			for (let position = 0; position < 4; position++) {
				announceOther(test, position, host);
			}

			await runFor(test.timers, 3000);
			assert.deepEqual(test.fleet.findOverlaps(), []);
			assert.deepEqual(countOutcomes(test, 'job'), {completed: 4});
			assert.ok(test.events.some(({name}) => name === 'backend-server-refuted'));
			// Guards against connections to the addresses of other writers that are never closed, and against closing those in use.
			const asked = test.fleet.servers.slice(0, 4).map(({description: {id}}) => ({host, serverId: id}));
			assert.deepEqual(test.fleet.disconnections, host === undefined ? [] : asked);
		});
	}

	// Guards against a backend server that stays out of use, and tasks that never start again, after it has really started again.
	it('uses a backend server that has started again at another address, and repeats what ran there', async () => {
		const test = createTestCluster({getDurationMs: () => 700});
		await startAndWaitUntilServing(test);
		for (let number = 0; number < 4; number++) {
			test.submit(`entry-a${(number % 2) + 1}`, `job-${number}`, {slackMs: 3000, callerTimeoutMs: 5000});
		}

		await runFor(test.timers, 100);
		for (const server of test.fleet.servers) {
			test.fleet.crash(server.description.id);
			server.fault = {};
			server.highestToken = 0;
			server.description = {...server.description, host: `${server.description.host}-2`, bornMs: server.description.bornMs + 1};
		}

		test.reportServers();
		await runFor(test.timers, 3500);
		assert.deepEqual(test.fleet.findOverlaps(), []);
		assert.deepEqual(countOutcomes(test, 'job'), {completed: 4});
	});

	// Guards against a backend server whose heartbeats count as old for good.
	it('serves on the backend server again, and takes its next heartbeats as new', async () => {
		const test = createTestCluster({getDurationMs: () => 50});
		await startAndWaitUntilServing(test);
		for (const position of test.fleet.servers.keys()) {
			announceOther(test, position, '10.99.0.1');
		}

		await runFor(test.timers, 1000);
		test.reportServers();
		await runFor(test.timers, 200);
		for (let number = 0; number < 6; number++) {
			test.submit('entry-a1', `job-${number}`);
		}

		await runFor(test.timers, 500);
		assert.deepEqual(countOutcomes(test, 'job'), {completed: 6});
		assert.equal(test.getPlacer().cluster.getStatus().serverCount, test.fleet.servers.length);
	});
});
