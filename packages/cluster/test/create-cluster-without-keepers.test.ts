import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {RequestCost} from '../../placement/test/support/slow-client.js';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {countOutcomes, startAndWaitUntilServing} from './support/drive-cluster.js';

const smallMillicores = 243;
const largeMillicores = 810;
const largeId = 'entry-a3';

/** Creates a divided deployment with two keepers and five entry VMs a zone, of which the third one is the largest. */
async function startDivided(getRequestCost?: (id: string) => RequestCost | undefined): Promise<TestCluster> {
	const test = createTestCluster({
		serverCount: 105,
		entriesPerZone: 5,
		hasSecondKeepers: true,
		getCpuMillicores: id => id === largeId ? largeMillicores : smallMillicores,
		getDurationMs: () => 60,
		getRequestCost,
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

describe('createCluster, when the keepers of a zone return', () => {
	const zoneKeepers = ['keeper-a', 'keeper-a2'];
	const upMs = 1000;
	const maxReturnMs = 1000;

	// Guards against a zone that is not served while its placing moves back from an entry VM, and against a return that takes long.
	const rows = [
		{title: 'an entry VM that kept up', entryCost: undefined},
		{title: 'an entry VM that was short of processor time', entryCost: {firstMs: 10, laterMs: 0.7}},
	];
	for (const {title, entryCost} of rows) {
		it(`a keeper places and serves everything from ${upMs + maxReturnMs} ms after their start on, after ${title}`, async () => {
			const test = await startDivided(id => (id.startsWith('entry') ? entryCost : undefined));
			for (const id of zoneKeepers) {
				test.kill(id);
			}

			await waitForEntryPlacer(test);
			await runFor(test.timers, 1500);
			for (const id of zoneKeepers) {
				test.restart(id);
			}

			await submitToZone(test, 'during', upMs + maxReturnMs);
			assert.match(test.find('entry-a1').cluster.getStatus().placerId, /^keeper-a/v);
			await submitToZone(test, 'after', 1000);
			await runFor(test.timers, 1500);
			assert.deepEqual(countOutcomes(test, 'after'), {completed: 100});
			assert.deepEqual(countOutcomes(test, 'during'), {completed: 200});
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}
});

/** Submits a job every 10 ms to the entry daemons of zone a in turn. */
async function submitToZone(test: TestCluster, prefix: string, durationMs: number): Promise<void> {
	for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
		test.submit(`entry-a${(passedMs / 10 % 5) + 1}`, `${prefix}-${passedMs}`);
		// eslint-disable-next-line no-await-in-loop -- Jobs are submitted over time.
		await runFor(test.timers, 10);
	}
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
