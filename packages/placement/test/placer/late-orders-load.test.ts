import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {replayLoad, type ReplayResult} from '../support/load-replay.js';
import {summarizeReplay} from '../support/summarize-replay.js';

const fromMs = 1000;
const toMs = 5000;
const windowMs = 2000;

/** Replays a load while each request to a backend server gets no response, and takes effect late, with a probability. */
async function replayLateOrders(lateShare: number, seed: number): Promise<ReplayResult> {
	const random = createSeededRandomSource(seed);
	return replayLoad({
		load: 0.6,
		seed,
		durationMs: toMs + 1000,
		steps: [
			{
				atMs: fromMs,
				apply({fleet}) {
					for (const server of fleet.servers) {
						server.fault = {isRequestDelayed: () => random.getFraction() < lateShare};
					}
				},
			},
			{
				atMs: toMs,
				apply({fleet}) {
					for (const server of fleet.servers) {
						server.fault = {};
					}
				},
			},
		],
	});
}

describe('a placer whose orders go unanswered and take effect late', () => {
	// Guards against a claim for each unanswered order, which voids all other orders on their way to the same backend server.
	const rows = [
		{lateShare: 0.1, minEarnedShare: 0.95},
		{lateShare: 0.2, minEarnedShare: 0.9},
		{lateShare: 0.35, minEarnedShare: 0.85},
		{lateShare: 0.6, minEarnedShare: 0.7},
	];
	for (const {lateShare, minEarnedShare} of rows) {
		for (const seed of [1, 2, 3]) {
			it(`serves ${minEarnedShare} of the worth in each window at a share of ${lateShare} with seed ${seed}`, async () => {
				const result = await replayLateOrders(lateShare, seed);
				for (let windowFromMs = fromMs; windowFromMs < toMs; windowFromMs += windowMs) {
					const {all} = summarizeReplay(result, {fromMs: windowFromMs, toMs: windowFromMs + windowMs});
					assert.ok(all!.earnedShare >= minEarnedShare, `earned ${all!.earnedShare} from ${windowFromMs} ms`);
				}

				assert.deepEqual(result.test.fleet.findOverlaps(), []);
			});
		}
	}
});
