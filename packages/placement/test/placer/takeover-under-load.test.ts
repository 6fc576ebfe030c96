import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {TestPlacer} from '../support/create-test-placer.js';
import type {PatternJob} from '../support/load-pattern.js';
import {replayLoad, type ReplayStep} from '../support/load-replay.js';
import {SlowClient, type RequestCost} from '../support/slow-client.js';

const lostAtMs = 2000;
const overdueAtMs = 2250;
const replacedAtMs = 2600;
const durationMs = 6000;
const msPerSecond = 1000;

/** Loses the placer under load and replaces it by one on an entry VM, where each request costs processor time. */
function getTakeover(cost: RequestCost): ReplayStep[] {
	return [
		{
			atMs: lostAtMs,
			apply({placer}) {
				placer.stop();
			},
		},
		{
			atMs: replacedAtMs,
			apply(test, openJobs) {
				const successor = test.createSuccessor(2, 'second', 2, {wrapClient: client => new SlowClient(client, test.timers, cost)});
				successor.setServers(test.fleet.getDescriptions(), 0);
				test.usePlacer(successor);
				for (const {request, arrivesAtMs} of openJobs) {
					const wasSubmitted = arrivesAtMs < overdueAtMs;
					test.submit({...request, ageMs: replacedAtMs - arrivesAtMs, callerTimeoutMs: 1500}, {
						generation: wasSubmitted ? 1 : 0,
						handover: wasSubmitted ? {entryId: 'entry', registryDigest: '', placers: [{placerId: 'first', incarnation: 'one'}]} : undefined,
					});
				}
			},
		},
	];
}

/** Gets the shares of the jobs with an outcome, by the second after the loss in which they arrived. */
function getSharesBySecond({results}: TestPlacer, jobs: readonly PatternJob[], outcome: string): number[] {
	return [0, 1, 2, 3].map(second => {
		const startMs = lostAtMs + (second * msPerSecond);
		const arrived = jobs.filter(({arrivesAtMs}) => arrivesAtMs >= startMs && arrivesAtMs < startMs + msPerSecond);
		const share = arrived.filter(({request}) => (results.get(request.jobId)?.outcome ?? 'none') === outcome).length / arrived.length;
		return Number(share.toFixed(3));
	});
}

describe('an entry VM that takes over under load', () => {
	// Guards against a VM that opens connections, claims and starts tasks for seconds without serving anything.
	const rows: Array<{cost: RequestCost; seed: number; maxUnknown: number; minCompleted: [number, number, number, number]}> = [
		{
			cost: {firstMs: 2, laterMs: 0.3}, seed: 1, maxUnknown: 0, minCompleted: [0.55, 0.95, 0.95, 0.95],
		},
		{
			cost: {firstMs: 7, laterMs: 0.5}, seed: 1, maxUnknown: 0.16, minCompleted: [0.36, 0.8, 0.95, 0.95],
		},
		{
			cost: {firstMs: 7, laterMs: 0.5}, seed: 2, maxUnknown: 0.16, minCompleted: [0.36, 0.8, 0.95, 0.93],
		},
	];
	for (const {cost, seed, maxUnknown, minCompleted} of rows) {
		it(`a request costs ${cost.firstMs} ms, later ${cost.laterMs} ms, seed ${seed} → ${minCompleted.join(', ')} completed by second`, async () => {
			const {test, jobs} = await replayLoad({
				load: 0.5, seed, durationMs, steps: getTakeover(cost),
			});
			const completed = getSharesBySecond(test, jobs, 'completed');
			const unknown = getSharesBySecond(test, jobs, 'unknown');
			assert.ok(completed.every((share, second) => share >= minCompleted[second]!), `completed ${completed.join(' ')}`);
			assert.ok(unknown[0]! <= maxUnknown, `unknown ${unknown.join(' ')}`);
			assert.deepEqual(unknown.slice(1), [0, 0, 0]);
			assert.deepEqual(getSharesBySecond(test, jobs, 'none'), [0, 0, 0, 0]);
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}
});
