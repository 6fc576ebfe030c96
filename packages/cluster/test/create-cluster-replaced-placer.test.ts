import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import type {TestCluster} from './support/create-test-cluster.js';
import {ignoreAcknowledgement, startWithoutRoom} from './support/drive-cluster.js';
import {findLateStarts} from './support/find-late-starts.js';

/**
 * Lets a job of entry-b1 wait on keeper-a, and cuts keeper-a off from the other daemons until keeper-b has concluded that it does not run. What
 * the others send to keeper-a arrives for 400 ms longer, so that it still counts them as alive.
 */
async function concludeBehindCut(): Promise<TestCluster> {
	const {test} = await startWithoutRoom(1000);

	await runFor(test.timers, 600);
	test.submit('entry-b1', 'job', {callerTimeoutMs: 3000});
	await runFor(test.timers, 50);
	const otherIds = test.daemons.map(({id}) => id).filter(id => id !== 'keeper-a');
	for (const otherId of otherIds) {
		test.network.cutLink('keeper-a', otherId);
	}

	await runFor(test.timers, 400);
	test.network.partitionPeers(['keeper-a'], otherIds);
	for (let waitedMs = 0; waitedMs < 700 && !test.events.some(({name}) => name === 'job-recovered'); waitedMs += 5) {
		// eslint-disable-next-line no-await-in-loop -- Time passes step by step.
		await runFor(test.timers, 5);
	}

	return test;
}

// Guards against a placer that goes on starting tasks behind a cut after the other daemons have replaced it.
describe('createCluster, when a placer has been replaced behind a cut', () => {
	it('lets its successor conclude that the job does not run', async () => {
		const test = await concludeBehindCut();
		const conclusions = test.events.filter(({name}) => name === 'job-recovered');
		assert.deepEqual(conclusions.map(({daemonId, fields: {known, missing}}) => ({daemonId, known, missing})), [{daemonId: 'keeper-b', known: true, missing: 2}]);
		assert.deepEqual(test.fleet.records.filter(({daemonId}) => daemonId === 'keeper-a'), []);
	});

	it('starts no task of the job on a backend server that it learns of then', async () => {
		const test = await concludeBehindCut();
		test.find('keeper-a').cluster.reportServer(test.fleet.getDescriptions()[0]!, ignoreAcknowledgement);
		await runFor(test.timers, 2500);
		assert.deepEqual(findLateStarts(test), []);
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});
});
