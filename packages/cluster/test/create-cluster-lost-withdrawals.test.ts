import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {startAndWaitUntilServing} from './support/drive-cluster.js';
import {replayMessageFault, type JobLife, type MessageFault} from './support/replay-message-fault.js';

/** How long a client waits after a broken connection before it submits the job again, anywhere. */
const resubmitDelayMs = 1300;
/** How long a link stays closed after a reset. */
const reopenMs = 250;
const longJob = {
	callerTimeoutMs: 9000, slackMs: 9000, steps: [{
		taskCount: 1, cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0, estimateMs: 4000, dependsOn: [],
	}],
};

async function createDivided(): Promise<TestCluster> {
	const test = createTestCluster({serverCount: 105, hasSecondKeepers: true, getDurationMs: () => 4000});
	await startAndWaitUntilServing(test);
	await runFor(test.timers, 2500, 1);
	return test;
}

/** Loses all messages of a daemon to a placer, and back, while their link is reopened. */
async function resetLink(test: TestCluster, entryId: string, placerId: string): Promise<void> {
	test.network.partitionPeers([entryId], [placerId]);
	await runFor(test.timers, reopenMs, 1);
	test.network.healLinks();
}

describe('createCluster, when the connections of a caller and of its entry daemon are reset together', () => {
	for (const resetCount of [1, 2]) {
		// Guards against two runs of a job in two availability zones, because the message that its caller has left is lost.
		it(`runs a job once that is submitted again in another availability zone after ${resetCount} resets`, async () => {
			const test = await createDivided();
			const caller = test.submit('entry-a1', 'job', longJob);
			await runFor(test.timers, 300, 1);
			const leftAtMs = test.timers.getNowMs();
			const {placerId} = test.find('entry-a1').cluster.getStatus();
			test.network.partitionPeers(['entry-a1'], [placerId]);
			caller.unsubscribe();
			for (let count = 0; count < resetCount; count++) {
				await resetLink(test, 'entry-a1', placerId); // eslint-disable-line no-await-in-loop -- One reset after the other.
				await runFor(test.timers, 30, 1); // eslint-disable-line no-await-in-loop -- The second one follows 280 ms after the first.
			}

			await runFor(test.timers, resubmitDelayMs - (test.timers.getNowMs() - leftAtMs), 1);
			assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), ['stopped']);
			test.submit('entry-b1', 'job', longJob);
			await runFor(test.timers, 5000, 1);
			assert.deepEqual(test.results.map(({daemonId, result}) => [daemonId, result.outcome]), [['entry-b1', 'completed']]);
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}

	// Guards against a job that ends for callers who still wait for it through another daemon.
	it('lets a job run on that callers of another entry daemon wait for', async () => {
		const test = await createDivided();
		const caller = test.submit('entry-a1', 'job', longJob);
		await runFor(test.timers, 100, 1);
		test.submit('entry-a2', 'job', longJob);
		await runFor(test.timers, 100, 1);
		const {placerId} = test.find('entry-a1').cluster.getStatus();
		test.network.partitionPeers(['entry-a1'], [placerId]);
		caller.unsubscribe();
		await resetLink(test, 'entry-a1', placerId);
		await runFor(test.timers, 5000, 1);
		assert.deepEqual(test.results.map(({daemonId, result}) => [daemonId, result.outcome]), [['entry-a2', 'completed']]);
		assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), ['done']);
	});

	// Guards against the start of a job that waited for room when its callers left.
	it('does not start a job later that still waited', async () => {
		const test = createTestCluster({getDurationMs: () => 600, cpuMillicores: 27_000, serverCount: 3});
		await startAndWaitUntilServing(test);
		for (const number of [1, 2, 3]) {
			test.submit('entry-b1', `busy-${number}`, {...longJob, steps: [{...longJob.steps[0]!, estimateMs: 600}]});
		}

		await runFor(test.timers, 50, 1);
		const caller = test.submit('entry-a1', 'job', longJob);
		await runFor(test.timers, 50, 1);
		const placerId = test.getPlacer().id;
		test.network.partitionPeers(['entry-a1'], [placerId]);
		caller.unsubscribe();
		await resetLink(test, 'entry-a1', placerId);
		await runFor(test.timers, 3000, 1);
		assert.equal(test.fleet.records.filter(({taskName}) => taskName.startsWith('job.')).length, 0);
		assert.equal(test.fleet.records.length, 3);
	});
});

describe('createCluster, when one message about a job is lost, doubled or late', () => {
	const lives: JobLife[] = ['callers-leave', 'callers-leave-at-once', 'cancelled', 'placer-stopped'];
	const kinds = ['placement.submit', 'placement.cancel', 'placement.open-jobs'];
	const effects: Array<MessageFault['effect']> = ['lost', 'doubled', 'late'];
	for (const life of lives) {
		// Guards against a second run, or a start after the end of a job, that a single message decides.
		it(`keeps at most one run of a job, and starts nothing after its end: ${life}`, async () => {
			for (const fault of kinds.flatMap(kind => effects.map(effect => ({kind, effect, position: 0})))) {
				const result = await replayMessageFault(life, fault); // eslint-disable-line no-await-in-loop -- One replay after the other.
				const seen = `${fault.kind} ${fault.effect}`;
				assert.equal(result.overlapCount, 0, seen);
				assert.equal(result.lateStartCount, 0, seen);
				assert.ok(!life.startsWith('callers-leave') || result.leftRunCount === 0, seen);
			}
		});
	}
});
