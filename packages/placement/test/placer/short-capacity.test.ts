import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {replayLoad} from '../support/load-replay.js';
import {shortCapacityLoads, type ShortCapacityLoad} from '../support/short-capacity-loads.js';
import {summarizeJobs, summarizeReplay} from '../support/summarize-replay.js';

function getLoad(title: string): ShortCapacityLoad {
	return shortCapacityLoads.find(load => load.title === title)!;
}

describe('a placer whose capacity is short', () => {
	// Guards against an order by work alone, which refuses nearly all large jobs: without the preference of large jobs the
	// largest tenth of the wide kind is served 0.11 and that of the small kind 0.36 times as often as its kind here, with it
	// 0.23 and 0.54 times. The wide kind stays below the half that is wanted; docs/design/sharing.md has the figures.
	it('serves the largest tenth of a kind more often in a burst of all kinds than the order by work does', async () => {
		const load = getLoad('all x 1.8');
		const ratios: Record<string, number> = {wide: 0, small: 0};
		const seeds = [1, 2, 3];
		for (const seed of seeds) {
			// eslint-disable-next-line no-await-in-loop -- Replays run one at a time.
			const summary = summarizeReplay(await replayLoad({...load, seed}), load);
			for (const name of Object.keys(ratios)) {
				ratios[name]! += summary[name]!.largestServedShare / summary[name]!.servedShare / seeds.length;
			}
		}

		assert.ok(ratios.wide! >= 0.2, `wide ${ratios.wide}`);
		assert.ok(ratios.small! >= 0.5, `small ${ratios.small}`);
	});

	// Guards against callers that return while the burst lasts or all just after it: with a Retry-After of 1 to 3 s whatever was
	// refused, 0.45 of the returning jobs are served in time here, with one that follows the refused work 0.57.
	it('serves half of the callers that return after a refusal', async () => {
		const load = getLoad('all x 1.8');
		const result = await replayLoad({...load, durationMs: 26_000, doCallersReturn: true});
		assert.ok(result.returnedJobs.length > 500);
		const {servedShare} = summarizeJobs(result, result.returnedJobs);
		assert.ok(servedShare >= 0.52, `served ${servedShare}`);
	});

	// Guards against a changed order where nothing is short.
	for (const seed of [1, 2, 3, 4, 5, 6]) {
		it(`orders jobs by their work alone at a load of 0.6, seed ${seed}`, async () => {
			const load = getLoad('usual load of 0.6');
			const result = await replayLoad({...load, seed});
			const taken = result.test.events.events.filter(({name}) => name === 'job-taken');
			assert.ok(taken.length > 1000);
			assert.deepEqual(taken.filter(({fields}) => fields.orderedWork !== fields.relativeWork), []);
			assert.equal(summarizeReplay(result, load).all!.earnedShare, 1);
		});
	}
});
