import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {startAndWaitUntilServing} from './support/drive-cluster.js';

const remainingMs = 5500;
const longMs = 9000;
const shortMs = 200;
/** Three lists of open jobs, of which one is lost, and the time until a refusal arrives. */
const refusedWithinMs = 650;
const serverCount = 3;

function getJob(estimateMs: number) {
	const step = {
		taskCount: 1, cpuMillicores: 40_000, memoryMb: 64, gpuCount: 0, estimateMs, dependsOn: [],
	};
	return {steps: [step], slackMs: 15_000, callerTimeoutMs: 15_000};
}

/** Starts a deployment whose backend servers are busy for a time with jobs of entry-b1, while two jobs wait at entry-a1. */
async function startWithoutRoom(busyMs: number, interceptMessage?: (kind: string, send: () => void) => void): Promise<TestCluster> {
	const test = createTestCluster({
		serverCount,
		getDurationMs: name => (name.startsWith('busy') ? busyMs : shortMs),
		interceptMessage({kind}, send) {
			if (interceptMessage === undefined) {
				send();
			} else {
				interceptMessage(kind, send);
			}
		},
	});
	await startAndWaitUntilServing(test);
	for (let number = 0; number < serverCount; number++) {
		test.submit('entry-b1', `busy-${number}`, getJob(busyMs));
	}

	await runFor(test.timers, 700, 1);
	for (const number of [1, 2]) {
		test.submit('entry-a1', `job-${number}`, getJob(shortMs));
	}

	await runFor(test.timers, 50, 1);
	return test;
}

function getResults(test: TestCluster): string[] {
	return test.results.filter(({daemonId}) => daemonId === 'entry-a1').map(({result}) => ('reason' in result ? `${result.outcome} ${result.reason}` : result.outcome));
}

describe('createCluster, when an entry daemon is stopped while its jobs wait for room', () => {
	for (const lostKind of ['none', 'placement.open-jobs', 'placement.result']) {
		// Guards against jobs that wait for the whole grace period although it is known that they cannot be served.
		it(`refuses them at once, as not run; lost message: ${lostKind}`, async () => {
			let isLost = false;
			let isWatching = false;
			const test = await startWithoutRoom(longMs, (kind, send) => {
				if (isWatching && kind === lostKind && !isLost) {
					isLost = true;
				} else {
					send();
				}
			});
			isWatching = true;
			test.find('entry-a1').cluster.startLeaving(remainingMs);
			await runFor(test.timers, refusedWithinMs, 1);
			assert.deepEqual(getResults(test), ['refused stopping', 'refused stopping']);
			assert.equal(isLost, lostKind !== 'none');
		});
	}

	it('completes them if there is room in time', async () => {
		const test = await startWithoutRoom(3000);
		test.find('entry-a1').cluster.startLeaving(remainingMs);
		await runFor(test.timers, remainingMs, 1);
		assert.deepEqual(getResults(test), ['completed', 'completed']);
	});

	for (const lossAfterMs of [0, 1, 100]) {
		// Guards against callers without an answer because the placer that knows the jobs is lost meanwhile.
		it(`answers them when the placer is lost ${lossAfterMs} ms later`, async () => {
			const test = await startWithoutRoom(longMs);
			const placer = test.getPlacer();
			test.find('entry-a1').cluster.startLeaving(remainingMs);
			await runFor(test.timers, lossAfterMs, 1);
			test.kill(placer.id);
			await runFor(test.timers, remainingMs - lossAfterMs, 1);
			test.find('entry-a1').cluster.stop();
			const results = getResults(test);
			assert.equal(results.length, 2);
			assert.ok(results.every(result => result === 'unknown' || result === 'refused stopping'), results.join(', '));
			assert.deepEqual(test.fleet.findOverlaps(), []);
			assert.ok(test.fleet.records.every(({taskName}) => !taskName.startsWith('job')));
		});
	}
});
