import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {startAndWaitUntilServing} from './support/drive-cluster.js';

const callerTimeoutMs = 60_000;
const repetitionMs = 2500;
/** A task under which this many backend servers have crashed is not started again. */
const maxCrashes = 2;

function createCrashingCluster(): TestCluster {
	return createTestCluster({getDurationMs: () => 100, isDeadly: taskName => taskName === 'deadly.0.0.0'});
}

function submitDeadlyJob(test: TestCluster, entryId: string): {unsubscribe(): void} {
	return test.submit(entryId, 'deadly', {callerTimeoutMs, slackMs: callerTimeoutMs});
}

/** Reports the backend servers at their usual interval while virtual time advances. */
async function runWithReports(test: TestCluster, durationMs: number): Promise<void> {
	for (let passedMs = 0; passedMs < durationMs; passedMs += 500) {
		test.reportServers();
		// eslint-disable-next-line no-await-in-loop -- Reports are sent over time.
		await runFor(test.timers, 500, 1);
	}
}

function assertGivenUp({fleet, results}: TestCluster): void {
	assert.ok(fleet.crashes.length > 0);
	assert.ok(fleet.crashes.length <= maxCrashes, `${fleet.crashes.length} crashes`);
	assert.deepEqual(results.at(-1)?.result, {outcome: 'failed', reason: 'attempts-used'});
}

describe('createCluster, with a task that crashes the backend servers that start it', () => {
	// Guards against a task whose runs are lost with their backend servers and that is started again without a limit.
	it('gives the task up after two crashes', async () => {
		const test = createCrashingCluster();
		await startAndWaitUntilServing(test);
		submitDeadlyJob(test, 'entry-a1');
		await runWithReports(test, 15_000);
		assertGivenUp(test);
	});

	// Guards against counts that are lost with a submission: the caller comes again, through another entry daemon each time.
	it('gives the task up after two crashes, each in another submission', async () => {
		const test = createCrashingCluster();
		await startAndWaitUntilServing(test);
		for (const entryId of ['entry-a1', 'entry-b1', 'entry-c1', 'entry-a2', 'entry-b2']) {
			const subscription = submitDeadlyJob(test, entryId);
			// eslint-disable-next-line no-await-in-loop -- The caller comes again after a while.
			await runWithReports(test, 1000);
			subscription.unsubscribe();
			// eslint-disable-next-line no-await-in-loop -- The caller comes again after a while.
			await runWithReports(test, 2500);
		}

		assertGivenUp(test);
	});

	// Guards against a second submission through another entry daemon that reaches a new placer, which knows neither.
	it('gives the task up after two crashes, each in another submission and under another placer', async () => {
		const test = createCrashingCluster();
		await startAndWaitUntilServing(test);
		for (const entryId of ['entry-a1', 'entry-b1', 'entry-c1', 'entry-a2']) {
			const subscription = submitDeadlyJob(test, entryId);
			const placer = test.getPlacer();
			// eslint-disable-next-line no-await-in-loop -- Placers are replaced one after the other.
			await runWithReports(test, 1000);
			subscription.unsubscribe();
			test.kill(placer.id);
			// eslint-disable-next-line no-await-in-loop -- Placers are replaced one after the other.
			await runWithReports(test, 1500);
			test.restart(placer.id);
			// eslint-disable-next-line no-await-in-loop -- Placers are replaced one after the other.
			await runWithReports(test, 1500);
		}

		assertGivenUp(test);
	});
});
