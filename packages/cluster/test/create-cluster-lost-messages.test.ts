import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster} from './support/create-test-cluster.js';
import {countOutcomes, startAndWaitUntilServing} from './support/drive-cluster.js';

describe('createCluster, when messages between an entry daemon and the placer are lost', () => {
	// Guards against a 504 for jobs that never reached the placer, because a backend server that does not respond could run them.
	it('runs jobs whose submission was lost, although a backend server is silent', async () => {
		const test = createTestCluster({getDurationMs: () => 100});
		await startAndWaitUntilServing(test);
		test.fleet.servers[0]!.fault = {isUnreachableFrom: () => true};
		await runFor(test.timers, 1500);
		const placerId = test.getPlacer().id;
		test.network.cutLink('entry-a1', placerId);
		for (let number = 0; number < 4; number++) {
			test.submit('entry-a1', `job-${number}`, {slackMs: 600});
		}

		await runFor(test.timers, 20);
		test.network.healLinks();
		await runFor(test.timers, 1500);
		assert.deepEqual(countOutcomes(test, 'job'), {completed: 4});
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});

	// Guards against a 504 for jobs that waited at a placer which stopped in good order, because its word about them was lost.
	it('takes jobs as new that a placer which leaves has not begun, although its first word about them is lost', async () => {
		const test = createTestCluster({getDurationMs: () => 100});
		await startAndWaitUntilServing(test);
		test.fleet.servers[0]!.fault = {isUnreachableFrom: () => true};
		await runFor(test.timers, 1500);
		const {id: placerId, cluster} = test.getPlacer();
		const cores = test.fleet.servers.length * 2;
		for (let number = 0; number < cores; number++) {
			test.submit('entry-a1', `job-${number}`, {slackMs: 1200});
		}

		await runFor(test.timers, 20);
		cluster.startLeaving();
		test.network.cutLink(placerId, 'entry-a1');
		await runFor(test.timers, 150);
		test.network.healLinks();
		await runFor(test.timers, 2000);
		const begun = test.events.flatMap(({name, daemonId, fields}) => (name === 'job-left-open' && daemonId === placerId ? [fields.job] : []));
		const unknown = test.results.filter(({result}) => result.outcome === 'unknown').map(({jobId}) => jobId);
		assert.ok(begun.length > 0 && begun.length < cores, `${begun.length} begun`);
		assert.deepEqual(unknown.filter(jobId => !begun.includes(jobId)), []);
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});
});
