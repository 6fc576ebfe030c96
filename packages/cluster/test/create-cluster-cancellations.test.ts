import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {startAndWaitUntilServing} from './support/drive-cluster.js';

function getOutcomes(test: TestCluster): Array<[daemonId: string, outcome: string]> {
	return test.results.map(({daemonId, result}) => [daemonId, result.outcome]);
}

describe('createCluster, when a job is cancelled', () => {
	// Guards against `failed` for a caller whose broken connection is noticed after it has come again through another daemon.
	for (const [leaving, staying] of [['entry-a1', 'entry-b1'], ['entry-b1', 'entry-a1']] as const) {
		it(`completes a job that a caller of ${staying} waits for after the one of ${leaving} has left`, async () => {
			const test = createTestCluster({getDurationMs: () => 300});
			await startAndWaitUntilServing(test);
			const subscriptions = new Map([['entry-a1', test.submit('entry-a1', 'job')]]);
			await runFor(test.timers, 50);
			subscriptions.set('entry-b1', test.submit('entry-b1', 'job'));
			await runFor(test.timers, 50);
			subscriptions.get(leaving)!.unsubscribe();
			await runFor(test.timers, 600);
			assert.deepEqual(getOutcomes(test), [[staying, 'completed']]);
			assert.equal(test.fleet.records.length, 2);
		});
	}

	// Guards against the end of an abandoned submission that decides the one with which its caller comes again at once.
	it('completes a job that is submitted again through the daemon where its caller has just left', async () => {
		const test = createTestCluster({getDurationMs: () => 300});
		await startAndWaitUntilServing(test);
		const subscription = test.submit('entry-a1', 'job');
		await runFor(test.timers, 50);
		subscription.unsubscribe();
		test.submit('entry-a1', 'job');
		await runFor(test.timers, 900);
		assert.deepEqual(getOutcomes(test), [['entry-a1', 'completed']]);
	});

	it('stops a job at once when all of its callers have left', async () => {
		const test = createTestCluster({getDurationMs: () => 5000});
		await startAndWaitUntilServing(test);
		const subscriptions = [test.submit('entry-a1', 'job'), test.submit('entry-b1', 'job')];
		await runFor(test.timers, 50);
		for (const subscription of subscriptions) {
			subscription.unsubscribe();
		}

		await runFor(test.timers, 100);
		assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), ['stopped', 'stopped']);
	});

	it('cancels a job for all who wait for it when a caller cancels it', async () => {
		const test = createTestCluster({getDurationMs: () => 5000});
		await startAndWaitUntilServing(test);
		test.submit('entry-a1', 'job');
		await runFor(test.timers, 50);
		test.submit('entry-b1', 'job');
		await runFor(test.timers, 50);
		const confirmations: boolean[] = [];
		test.find('entry-c1').cluster.cancel('job', isConfirmed => {
			confirmations.push(isConfirmed);
		});
		await runFor(test.timers, 600);
		assert.deepEqual(confirmations, [true]);
		assert.deepEqual(new Map(getOutcomes(test)), new Map([['entry-a1', 'failed'], ['entry-b1', 'failed']]));
		assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), ['stopped', 'stopped']);
	});
});
