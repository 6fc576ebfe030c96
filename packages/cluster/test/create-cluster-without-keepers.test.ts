import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {countOutcomes, startAndWaitUntilServing} from './support/drive-cluster.js';

const smallMillicores = 243;
const largeMillicores = 810;
const largeId = 'entry-a3';

/** Creates a divided deployment with two keepers and five entry VMs a zone, of which the third one is the largest. */
async function startDivided(): Promise<TestCluster> {
	const test = createTestCluster({
		serverCount: 105,
		entriesPerZone: 5,
		hasSecondKeepers: true,
		getCpuMillicores: id => id === largeId ? largeMillicores : smallMillicores,
		getDurationMs: () => 60,
	});
	await startAndWaitUntilServing(test);
	await runFor(test.timers, 2500);
	return test;
}

function killAllKeepers(test: TestCluster): void {
	for (const {id} of test.daemons) {
		if (id.startsWith('keeper')) {
			test.kill(id);
		}
	}
}

/** Waits until an entry daemon places in zone a, and returns its id and the time that this took. */
async function waitForEntryPlacer(test: TestCluster): Promise<{id: string; delayMs: number}> {
	const startMs = test.timers.getNowMs();
	let id = '';
	while (!id.startsWith('entry') && test.timers.getNowMs() - startMs < 3000) {
		// eslint-disable-next-line no-await-in-loop -- Time passes step by step.
		await runFor(test.timers, 10);
		id = test.find('entry-a2').cluster.getStatus().placerId;
	}

	return {id, delayMs: Math.round(test.timers.getNowMs() - startMs)};
}

describe('createCluster, when all keepers are lost', () => {
	// Guards against a takeover by a VM that is too small to place, only because its id is smaller.
	it('the largest entry VM takes over within 1 s', async () => {
		const test = await startDivided();
		killAllKeepers(test);
		const {id, delayMs} = await waitForEntryPlacer(test);
		assert.equal(id, largeId);
		assert.ok(delayMs <= 1000, `${delayMs} ms`);
	});

	// Guards against a successor that takes the jobs of an entry daemon for possibly started on backend servers that only that one knew.
	it('jobs of an entry VM that dies as placer are completed by the next one', async () => {
		const test = await startDivided();
		killAllKeepers(test);
		const {id} = await waitForEntryPlacer(test);
		await runFor(test.timers, 1000);
		test.kill(id);
		for (let number = 0; number < 8; number++) {
			test.submit(`entry-a${(number % 2) + 4}`, `job-${number}`);
		}

		await runFor(test.timers, 1200);
		assert.deepEqual(countOutcomes(test, 'job'), {completed: 8});
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});

	// Guards against keepers that place without the registry, since each has only asked keepers that were restarted as well.
	it('keepers that restart together get the registry from entry daemons before backend servers report again', async () => {
		const test = await startDivided();
		const keepers = test.daemons.filter(({id}) => id.startsWith('keeper'));
		for (const {id} of keepers) {
			test.kill(id);
		}

		await runFor(test.timers, 100);
		for (const {id} of keepers) {
			test.restart(id);
		}

		await runFor(test.timers, 1000);
		assert.match(test.find('entry-a1').cluster.getStatus().placerId, /^keeper-a/v);
		assert.equal(test.find('keeper-a').cluster.getStatus().serverCount, 35);
	});

	const handicaps: Array<{title: string; prepare: (test: TestCluster) => Promise<void>}> = [
		{
			title: 'leaves',
			async prepare(test) {
				test.find('entry-a3').cluster.startLeaving();
				await runFor(test.timers, 100);
			},
		},
		{
			title: 'has just started',
			async prepare(test) {
				test.kill(largeId);
				await runFor(test.timers, 1000);
				test.restart(largeId);
				await runFor(test.timers, 50);
			},
		},
		{
			title: 'has been up for less than the others assume',
			async prepare(test) {
				test.kill(largeId);
				await runFor(test.timers, 100);
				test.restart(largeId);
				await runFor(test.timers, 400);
			},
		},
		{
			title: 'is lost with the keepers',
			async prepare(test) {
				test.kill(largeId);
			},
		},
	];
	for (const {title, prepare} of handicaps) {
		it(`another entry VM takes over within 1 s if the largest one ${title}`, async () => {
			const test = await startDivided();
			await prepare(test);
			killAllKeepers(test);
			const {id, delayMs} = await waitForEntryPlacer(test);
			assert.ok(delayMs <= 1000, `${id} after ${delayMs} ms`);
		});
	}
});
