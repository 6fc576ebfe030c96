import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {replacePlacers, startAndWaitUntilServing, submitFor} from './support/drive-cluster.js';

const zoneCount = 3;
const serversPerZone = 85;
const keeperStartMs = 400;
const entryStartMs = 1200;
const sliceMs = 250;
const keeperCost = {firstMs: 1, laterMs: 0.2};
const entryCost = {firstMs: 7, laterMs: 0.5};

function createDivided(keepsHints = true): TestCluster {
	return createTestCluster({
		keepsHints,
		serverCount: zoneCount * serversPerZone,
		entriesPerZone: 5,
		hasSecondKeepers: true,
		getDurationMs: () => 60,
		getRequestCost: id => id.startsWith('keeper') ? keeperCost : entryCost,
	});
}

/** Starts the daemons of one kind; backend servers report to the keepers as soon as these are up. */
function restartAll(test: TestCluster, prefix: string): void {
	for (const {id} of test.daemons) {
		if (id.startsWith(prefix)) {
			test.restart(id);
		}
	}

	test.reportServers();
}

/** Gets the share of the jobs submitted within each slice that completed. */
function getServedShares(test: TestCluster, prefix: string, intervalMs: number, durationMs: number): number[] {
	const completed = new Set(test.results.filter(({result}) => result.outcome === 'completed').map(({jobId}) => jobId));
	return Array.from({length: durationMs / sliceMs}, (_, slice) => {
		const ids = Array.from({length: sliceMs / intervalMs}, (__, index) => `${prefix}-${(slice * sliceMs) + (index * intervalMs)}`);
		return ids.filter(id => completed.has(id)).length / ids.length;
	});
}

/** Gets when zone a reached the milestones of the last takeover. */
function getMilestones(test: TestCluster, eventCount: number, sinceMs: number): {electedMs: number; halfClaimedMs: number; allClaimedMs: number} {
	const zoneIds = new Set(test.daemons.filter(({availabilityZone}) => availabilityZone === 'a').map(({id}) => id));
	const ofZone = test.events.slice(eventCount).filter(({daemonId}) => zoneIds.has(daemonId));
	const findAtMs = (name: string, milestone?: string) => ofZone.find(event => event.name === name && event.fields.milestone === milestone)!.atMs - sinceMs;
	return {
		electedMs: findAtMs('placer-elected'),
		halfClaimedMs: findAtMs('placer-progressed', 'half-claimed'),
		allClaimedMs: findAtMs('placer-progressed', 'all-claimed'),
	};
}

describe('createCluster, after a loss of power of all VMs', () => {
	const rows = [
		{
			title: 'with hints', keepsHints: true, maxElectedMs: 800, maxHalfClaimedMs: 850, maxAllClaimedMs: 900,
		},
		{
			title: 'without hints', keepsHints: false, maxElectedMs: 800, maxHalfClaimedMs: 1300, maxAllClaimedMs: 1400,
		},
	];
	for (const {title, keepsHints, ...bounds} of rows) {
		// Guards against waits of the election, of claims and of resubmitted jobs that add up after a return of everything.
		it(`serves 0.9 of the usual load within 4 s of the return, ${title}`, async () => {
			const test = createDivided(keepsHints);
			await startAndWaitUntilServing(test);
			await runFor(test.timers, 2500);
			await replacePlacers(test, 2);
			await submitFor(test, 500, 10, 'before');
			for (const {id} of test.daemons) {
				test.kill(id);
			}

			await runFor(test.timers, 1300);
			const returnedAtMs = test.timers.getNowMs();
			const eventCount = test.events.length;
			await runFor(test.timers, keeperStartMs);
			restartAll(test, 'keeper');
			await runFor(test.timers, entryStartMs - keeperStartMs);
			restartAll(test, 'entry');
			await submitFor(test, 3000, 10, 'after');
			await runFor(test.timers, 1500);
			const {electedMs, halfClaimedMs, allClaimedMs} = getMilestones(test, eventCount, returnedAtMs);
			const times = `elected ${electedMs}, half claimed ${halfClaimedMs}, all claimed ${allClaimedMs}`;
			assert.ok(electedMs <= bounds.maxElectedMs && halfClaimedMs <= bounds.maxHalfClaimedMs && allClaimedMs <= bounds.maxAllClaimedMs, times);
			const shares = getServedShares(test, 'after', 10, 3000);
			const usualSlice = shares.findIndex(share => share >= 0.9);
			assert.ok(usualSlice !== -1 && entryStartMs + (usualSlice * sliceMs) <= 4000, shares.join(' '));
			assert.ok(shares.slice(usualSlice).every(share => share >= 0.9), shares.join(' '));
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}
});

describe('createCluster, when something fails while an entry VM claims', () => {
	/** Loses all keepers, and waits until an entry VM of zone a has begun to claim. */
	async function startTakeover(): Promise<{test: TestCluster; placerId: string; keeperIds: string[]}> {
		const test = createDivided();
		await startAndWaitUntilServing(test);
		await runFor(test.timers, 2500);
		await submitFor(test, 300, 10, 'before');
		const keeperIds = test.daemons.map(({id}) => id).filter(id => id.startsWith('keeper'));
		for (const id of keeperIds) {
			test.kill(id);
		}

		while (!test.find('entry-a5').cluster.getStatus().placerId.startsWith('entry')) {
			// eslint-disable-next-line no-await-in-loop -- Time passes step by step.
			await submitFor(test, 50, 10, `gap-${test.timers.getNowMs()}`);
		}

		await runFor(test.timers, 100);
		return {test, placerId: test.find('entry-a5').cluster.getStatus().placerId, keeperIds};
	}

	const failures: Array<{title: string; apply: (takeover: {test: TestCluster; placerId: string; keeperIds: string[]}) => Promise<void>}> = [
		{
			title: 'it dies',
			async apply({test, placerId}) {
				test.kill(placerId);
			},
		},
		{
			title: 'the keepers return',
			async apply({test, keeperIds}) {
				for (const id of keeperIds) {
					test.restart(id);
				}

				test.reportServers();
			},
		},
	];
	for (const {title, apply} of failures) {
		it(`${title}: no task has two runs at the same time, and the load is served again`, async () => {
			const takeover = await startTakeover();
			const {test} = takeover;
			await apply(takeover);
			await submitFor(test, 2500, 20, 'during');
			await submitFor(test, 1000, 20, 'after');
			await runFor(test.timers, 1000);
			const served = test.results.filter(({jobId, result}) => jobId.startsWith('after') && result.outcome === 'completed').length;
			assert.ok(served >= 45, `${served} of 50`);
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}

	// Guards against a placer that goes on with the term and the tokens that it had before it was suspended.
	it('a keeper that wakes up after 3 s with the old term starts nothing, and no task has two runs at the same time', async () => {
		const test = createDivided();
		await startAndWaitUntilServing(test);
		await runFor(test.timers, 2500);
		const frozenId = test.find('entry-a5').cluster.getStatus().placerId;
		const frozen = test.daemons.find(({id}) => id === frozenId)!;
		await submitFor(test, 300, 10, 'before');
		const keepers = test.daemons.filter(({id}) => id.startsWith('keeper'));
		for (const {id, timers} of keepers) {
			if (id === frozenId) {
				timers.pause();
			} else {
				test.kill(id);
			}
		}

		await submitFor(test, 3000, 20, 'during');
		const startedBefore = test.fleet.records.length;
		const {term} = test.find('entry-a5').cluster.getStatus();
		frozen.timers.resume();
		await submitFor(test, 500, 20, 'resumed');
		const ofOldTerm = test.fleet.records.slice(startedBefore).filter(({daemonId}) => daemonId === frozenId);
		assert.deepEqual(ofOldTerm, []);
		assert.ok(frozen.cluster.getStatus().term >= term);
		await submitFor(test, 1500, 20, 'after');
		await runFor(test.timers, 1000);
		const served = test.results.filter(({jobId, result}) => jobId.startsWith('after') && result.outcome === 'completed').length;
		assert.ok(served >= 68, `${served} of 75`);
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});
});
