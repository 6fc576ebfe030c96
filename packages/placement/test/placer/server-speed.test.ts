import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {replayLoad, type ReplayOptions, type ReplayResult} from '../support/load-replay.js';

const calmLoad = 0.75;
const unequalSpeeds = [0.7, 0.7, 1.7];
const longTaskShare = 0.03;
const seeds = [1, 2, 3];
/** Until then the placer cannot know that tasks are long by themselves at times. */
const warmUpMs = 1000;
const faultAtMs = 2500;
const faultyPositions = [4, 13, 22, 31, 40, 49, 58, 67];

async function replayCalmDay(options: Partial<ReplayOptions>): Promise<ReplayResult[]> {
	const results: ReplayResult[] = [];
	for (const seed of seeds) {
		// eslint-disable-next-line no-await-in-loop -- One replay at a time.
		results.push(await replayLoad({
			load: calmLoad, durationMs: 6000, seed, ...options,
		}));
	}

	return results;
}

function getMeanShare(results: readonly ReplayResult[]): number {
	return results.reduce((sum, {earnedShare}) => sum + earnedShare, 0) / results.length;
}

/** Gets the median time after which faulty backend servers are ejected. */
async function getFoundMs(slowdownFactor: number): Promise<number> {
	let startedAtMs = 0;
	const {test} = await replayLoad({
		load: calmLoad,
		durationMs: 6000,
		steps: [{
			atMs: faultAtMs,
			apply({timers, fleet}) {
				startedAtMs = timers.getNowMs();
				for (const position of faultyPositions) {
					fleet.servers[position]!.fault = {slowdownFactor};
				}
			},
		}],
	});
	const timesMs = faultyPositions.map(position => (test.ejectedAtMs.get(`server-${position}`) ?? Number.POSITIVE_INFINITY) - startedAtMs);
	return timesMs.toSorted((left, right) => left - right)[Math.floor(timesMs.length / 2)]!;
}

describe('a calm day', () => {
	// Guards against slow but healthy backend servers, and tasks that are long by themselves, that are taken for faults.
	it('on backend servers of unequal speed is served as on equal ones, with hardly a stop and no ejection', async () => {
		const unequal = await replayCalmDay({speeds: unequalSpeeds, longTaskShare});
		const equal = await replayCalmDay({longTaskShare});
		const records = unequal.flatMap(({test}) => test.fleet.records).filter(({startedAtMs}) => startedAtMs >= warmUpMs);
		const stopCount = records.filter(({outcome}) => outcome === 'stopped').length;
		assert.ok(stopCount <= records.length * 0.002, `${stopCount} of ${records.length} runs stopped`);
		assert.deepEqual(unequal.flatMap(({test}) => [...test.ejectedAtMs]), []);
		const shares = [getMeanShare(unequal), getMeanShare(equal)] as const;
		assert.ok(shares[0] >= shares[1] * 0.98, `served ${shares.join(' and ')}`);
		assert.deepEqual(unequal.flatMap(({test}) => test.fleet.findOverlaps()), []);
	});

	// Guards against speeds that are learned from noise and change deployments of equal backend servers.
	it('on equal backend servers is served as if speeds did not exist', async () => {
		const learned = await replayCalmDay({});
		const ignored = await replayCalmDay({
			serverSpeeds: {
				getSpeed: () => 1,
				addRun() {
					// Nothing is learned.
				},
			},
		});
		assert.ok(Math.abs(getMeanShare(learned) - getMeanShare(ignored)) <= 0.01);
	});
});

describe('backend servers that become slow', () => {
	// The bounds are the times of the code that did not know speeds: 1,150 and 650 ms.
	const rows = [
		{slowdownFactor: 5, maxFoundMs: 1150},
		{slowdownFactor: 8, maxFoundMs: 650},
	];
	for (const {slowdownFactor, maxFoundMs} of rows) {
		it(`are found within ${maxFoundMs} ms if they are ${slowdownFactor} times slower`, async () => {
			const foundMs = await getFoundMs(slowdownFactor);
			assert.ok(foundMs <= maxFoundMs, `found after ${foundMs} ms`);
		});
	}
});
