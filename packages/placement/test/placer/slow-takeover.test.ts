import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Placer} from '../../src/index.js';
import {createTestPlacer} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';
import {SlowClient, type RequestCost} from '../support/slow-client.js';

const serverCount = 80;
const maxTakeoverMs = 3000;

function countHeld(placer: Placer): number {
	return placer.getServerStatuses().filter(({state}) => state === 'held').length;
}

/** Gets the times after which shares of all backend servers are held by a successor for which requests cost processor time. */
async function getHeldTimesMs(cost: RequestCost, shares: readonly number[]): Promise<number[]> {
	const {timers, fleet, placer, createSuccessor} = createTestPlacer({serverCount});
	await runFor(timers, 100);
	placer.stop();
	const successor = createSuccessor(2, 'second', 2, {wrapClient: client => new SlowClient(client, timers, cost)});
	const startedAtMs = timers.getNowMs();
	successor.setServers(fleet.getDescriptions(), 0);
	const timesMs: number[] = [];
	for (const share of shares) {
		while (countHeld(successor) < serverCount * share && timers.getNowMs() - startedAtMs < maxTakeoverMs) {
			// eslint-disable-next-line no-await-in-loop -- Time passes step by step.
			await runFor(timers, 5);
		}

		timesMs.push(timers.getNowMs() - startedAtMs);
	}

	return timesMs;
}

describe('a successor placer on a VM that is short of processor time', () => {
	// Guards against claims that are sent all at once, go unanswered for lack of processor time, and are sent again.
	const rows = [
		{cost: {firstMs: 0.1, laterMs: 0.1}, maxQuarterMs: 50, maxAllMs: 100},
		{cost: {firstMs: 2, laterMs: 0.3}, maxQuarterMs: 150, maxAllMs: 400},
		{cost: {firstMs: 7, laterMs: 0.5}, maxQuarterMs: 300, maxAllMs: 900},
	];
	for (const {cost, maxQuarterMs, maxAllMs} of rows) {
		it(`the first request to each backend server costs ${cost.firstMs} ms → a quarter is held after ${maxQuarterMs} ms, all after ${maxAllMs} ms`, async () => {
			const [quarterMs, allMs] = await getHeldTimesMs(cost, [0.25, 1]);
			assert.ok(quarterMs! <= maxQuarterMs && allMs! <= maxAllMs, `a quarter after ${quarterMs} ms, all after ${allMs} ms`);
		});
	}
});
