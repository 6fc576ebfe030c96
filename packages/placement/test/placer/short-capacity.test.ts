import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {replayLoad, type ReplayResult} from '../support/load-replay.js';
import {shortCapacityLoads} from '../support/short-capacity-loads.js';
import {summarizeReplay, type KindSummary} from '../support/summarize-replay.js';

const minServedRatioOfLargeJobs = 0.5;
const seeds = [1, 2];

type Replays = {
	results: ReplayResult[];
	getMean: (kind: string, key?: keyof KindSummary) => number;
};

async function replay(title: string, priorities = {}): Promise<Replays> {
	const load = shortCapacityLoads.find(row => row.title === title)!;
	const results: ReplayResult[] = [];
	for (const seed of seeds) {
		// eslint-disable-next-line no-await-in-loop -- Replays run one at a time.
		results.push(await replayLoad({...load, priorities, seed}));
	}

	return {
		results,
		getMean: (kind, key = 'earnedShare') => results.reduce((sum, result) => sum + summarizeReplay(result, load)[kind]![key], 0) / results.length,
	};
}

describe('a placer that is short of capacity', () => {
	const rows = [
		{title: 'burst of 2.1 of the long kind', minShares: {wide: 0.75, small: 0.85}},
		{title: 'burst of 2.1 of the wide kind', minShares: {long: 0.75, small: 0.82}},
		{title: 'burst of 2.1 of the small kind', minShares: {wide: 0.6, long: 0.6}},
		{title: 'burst of 1.8 of all kinds', minShares: {wide: 0.5, long: 0.5, small: 0.6}},
	];
	for (const {title, minShares} of rows) {
		// Guards against a burst that takes the capacity of the kinds with short objectives: before shares, wide jobs got 0.46 to 0.64.
		it(`${title}: each other kind earns its share, and no task runs twice at once`, async () => {
			const {results, getMean} = await replay(title);
			for (const [kind, minShare] of Object.entries(minShares)) {
				assert.ok(getMean(kind) >= minShare, `${kind} earned ${getMean(kind)}`);
			}

			for (const {test} of results) {
				assert.deepEqual(test.fleet.findOverlaps(), []);
				assert.ok(test.fleet.getPeakUtilization() <= 1);
			}
		});
	}

	// Guards against overload in which the order by work refuses nearly all large jobs.
	it('the largest tenth of the small kind and the fifth below it are served half as often as the kind, in a burst of all kinds', async () => {
		const {getMean} = await replay('burst of 1.8 of all kinds');
		const servedShare = getMean('small', 'servedShare');
		assert.ok(getMean('small', 'largestServedShare') >= servedShare * minServedRatioOfLargeJobs);
		assert.ok(getMean('small', 'secondServedShare') >= servedShare * minServedRatioOfLargeJobs);
	});

	// Listed in KNOWN-RED.txt: these bounds of the work page do not hold yet.
	it('the largest tenth of the wide kind is served half as often as the kind, in a burst of all kinds', {todo: 'KNOWN-RED.txt'}, async () => {
		const {getMean} = await replay('burst of 1.8 of all kinds');
		assert.ok(getMean('wide', 'largestServedShare') >= getMean('wide', 'servedShare') * minServedRatioOfLargeJobs);
	});

	for (const kind of ['long', 'wide', 'small']) {
		it(`a burst of the ${kind} kind leaves the other kinds 0.95 of what they earn without it`, {todo: 'KNOWN-RED.txt'}, async () => {
			const usual = await replay('usual load of 0.8');
			const burst = await replay(`burst of 2.1 of the ${kind} kind`);
			for (const other of ['long', 'wide', 'small'].filter(name => name !== kind)) {
				assert.ok(burst.getMean(other) >= usual.getMean(other) * 0.95, `${other}: ${burst.getMean(other)} of ${usual.getMean(other)}`);
			}
		});
	}

	it('tells nine of ten refused callers within a quarter of their objective', {todo: 'KNOWN-RED.txt'}, async () => {
		const {getMean} = await replay('burst of 1.8 of all kinds');
		for (const kind of ['long', 'wide', 'small']) {
			assert.ok(getMean(kind, 'refusalAgeP90') <= 0.25, `${kind}: ${getMean(kind, 'refusalAgeP90')}`);
		}
	});

	// Guards against a strict priority.
	it('the kind of the lowest priority is not starved in a burst of all kinds', async () => {
		const {getMean} = await replay('burst of 1.8 of all kinds', {long: 0, wide: 1, small: 2});
		assert.ok(getMean('small') >= 0.4, `small earned ${getMean('small')}`);
	});

	// Guards against callers who all return in the same second.
	it('spreads the retries after a burst of all kinds over seconds, none within the first', async () => {
		const {results} = await replay('burst of 1.8 of all kinds');
		const retries = results.flatMap(({test}) => [...test.results.values()].flatMap(result => (result.outcome === 'refused' ? [result.retryAfterMs] : [])));
		const bySecond = new Map<number, number>();
		for (const retryAfterMs of retries) {
			assert.ok(retryAfterMs >= 1000);
			const second = Math.floor(retryAfterMs / 1000);
			bySecond.set(second, (bySecond.get(second) ?? 0) + 1);
		}

		assert.ok(Math.max(...bySecond.values()) <= retries.length / 2, JSON.stringify([...bySecond]));
	});
});
