import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {startAndWaitUntilServing} from './support/drive-cluster.js';

/** More than half of the backend servers that a deployment may have before it divides. */
const serverCount = 60;

function countDivided({events}: TestCluster): number {
	return events.filter(({name}) => name === 'deployment-divided').length;
}

/** Creates a cluster whose backend servers all crash, and come back under new ids at the addresses that a function gets. */
async function replaceServers(getHost: (earlierHost: string) => string): Promise<TestCluster> {
	const test = createTestCluster({serverCount: 2 * serverCount});
	const earlier = test.fleet.servers.slice(0, serverCount);
	const later = test.fleet.servers.slice(serverCount);
	for (const [position, server] of later.entries()) {
		server.description = {...server.description, host: getHost(earlier[position]!.description.host)};
		server.fault = {isRefusing: true};
	}

	await startAndWaitUntilServing(test);
	for (const server of earlier) {
		server.fault = {isRefusing: true};
	}

	for (const server of later) {
		server.fault = {};
	}

	test.reportServers();
	await runFor(test.timers, 100);
	return test;
}

describe('createCluster, when backend servers come back under new ids', () => {
	// Guards against the end of all open jobs when a deployment divides, since it counts backend servers that have crashed.
	it('does not divide the deployment for those that have crashed', async () => {
		const test = await replaceServers(host => host);
		assert.equal(countDivided(test), 0);
	});

	it('divides the deployment when as many others have joined', async () => {
		const test = await replaceServers(host => `${host}-other`);
		assert.equal(countDivided(test), test.daemons.length);
	});
});
