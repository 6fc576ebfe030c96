import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ServerSpeeds} from '../../src/index.js';
import {replayLoad, type ReplayOptions, type ReplayResult} from '../support/load-replay.js';
import {
	calmDay, countStops, equalDay, getFoundTimesMs, getMedian,
} from '../support/server-speed-replays.js';

const seeds = [1, 2, 3, 4];
/** One backend server for each seed gives few times, so there are more seeds. */
const singleFaultSeeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12];

async function replaySeeds(options: ReplayOptions): Promise<ReplayResult[]> {
	const results: ReplayResult[] = [];
	for (const seed of seeds) {
		// eslint-disable-next-line no-await-in-loop -- One replay at a time.
		results.push(await replayLoad({...options, seed}));
	}

	return results;
}

/** Speeds that are given instead of learned. */
function createFixedSpeeds(getSpeed: ServerSpeeds['getSpeed']): ServerSpeeds {
	return {
		getSpeed,
		addRun() {
			// Nothing is learned.
		},
	};
}

function getPlacements({test}: ReplayResult): string[] {
	return test.fleet.records.map(({taskName, runNumber, serverId, startedAtMs}) => `${startedAtMs} ${taskName}.${runNumber} ${serverId}`);
}

describe('a calm day', () => {
	// Guards against slow but healthy backend servers, and tasks that are long by themselves, that are taken for faults.
	it('on backend servers of three speeds has stops of less than 0.2% of the runs, and no ejection', async () => {
		const results = await replaySeeds(calmDay);
		for (const result of results) {
			const {runCount, stopCount, ejectedCount} = countStops(result);
			assert.ok(stopCount < runCount * 0.002, `${stopCount} of ${runCount} runs stopped`);
			assert.equal(ejectedCount, 0);
			assert.ok(result.earnedShare >= 0.95, `served ${result.earnedShare}`);
			assert.deepEqual(result.test.fleet.findOverlaps(), []);
		}
	});

	// Guards against speeds that are learned from noise and change deployments of equal backend servers.
	it('on equal backend servers has the same runs as if no speed was learned', async () => {
		const learned = await replaySeeds(equalDay);
		const nominal = await replaySeeds({...equalDay, serverSpeeds: createFixedSpeeds(() => 1)});
		for (const [position, result] of learned.entries()) {
			assert.deepEqual(getPlacements(result), getPlacements(nominal[position]!));
		}
	});

	// Guards against learned speeds that reach estimates, the choice of a backend server, the wait or refusals: with estimates
	// at nominal speed more jobs were accepted that ended late.
	for (const load of [0.75, 1.2]) {
		it(`has the same runs and results whatever the learned speeds, at a load of ${load}`, async () => {
			const speedsByPosition = [0.9, 1, 1.1];
			const speeds = createFixedSpeeds(({id}) => speedsByPosition[Number(id.slice('server-'.length)) % speedsByPosition.length]!);
			const nominal = await replayLoad({...equalDay, load});
			const result = await replayLoad({...equalDay, load, serverSpeeds: speeds});
			assert.equal(countStops(result).stopCount, 0);
			assert.deepEqual(getPlacements(result), getPlacements(nominal));
			assert.deepEqual([...result.test.results], [...nominal.test.results]);
		});
	}
});

describe('backend servers that become slow among equal ones', () => {
	// Guards against a check that avoids false stops by finding faults later. The bounds are the
	// times of the code that did not know speeds, on the same seeds.
	const rows = [
		{faultyCount: 1, slowdownFactor: 5, maxFoundMs: 1150},
		{faultyCount: 1, slowdownFactor: 8, maxFoundMs: 650},
		{faultyCount: 10, slowdownFactor: 5, maxFoundMs: 950},
		{faultyCount: 10, slowdownFactor: 8, maxFoundMs: 650},
	];
	for (const {faultyCount, slowdownFactor, maxFoundMs} of rows) {
		it(`${faultyCount} of them, ${slowdownFactor} times slower → found within ${maxFoundMs} ms`, async () => {
			const timesMs: number[] = [];
			for (const seed of faultyCount === 1 ? singleFaultSeeds : seeds) {
				// eslint-disable-next-line no-await-in-loop -- One replay at a time.
				timesMs.push(...await getFoundTimesMs(slowdownFactor, {...equalDay, seed}, faultyCount));
			}

			assert.ok(getMedian(timesMs) <= maxFoundMs, `found after ${getMedian(timesMs)} ms`);
		});
	}
});
