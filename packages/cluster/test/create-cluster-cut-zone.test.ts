import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getCutZoneLife, replayCutZone, type CutZoneReplayOptions} from './support/replay-cut-zone.js';

describe('createCluster, when placers are lost one after the other behind the cut of an availability zone', () => {
	const losses: Array<{title: string; options: CutZoneReplayOptions}> = [
		{title: 'one is killed', options: {lossesAfterMs: [250]}},
		{title: 'two are killed', options: {lossesAfterMs: [250, 250]}},
		{title: 'three are killed, as many as can follow', options: {lossesAfterMs: [250, 250, 250]}},
		{title: 'one is killed with all daemons behind the cut', options: {lossesAfterMs: [250], loss: 'killed-with-all'}},
		{title: 'one freezes', options: {lossesAfterMs: [250], loss: 'frozen'}},
		{title: 'one is killed before it has claimed', options: {lossesAfterMs: [0]}},
		{title: 'one is killed after its stops', options: {lossesAfterMs: [400]}},
		{title: 'one is killed, and half of the jobs are from inside', options: {lossesAfterMs: [250], outsideJobCount: 6, insideJobCount: 6}},
		{title: 'no one is lost', options: {lossesAfterMs: []}},
	];
	for (const {title, options} of losses) {
		// Guards against two runs at once: a placer that does not know a run lengthens its lease, while the placer outside counts it as over.
		it(`starts no task again while it runs: ${title}`, async () => {
			const {overlapCount, lostIds, outcomes} = await replayCutZone(options);
			assert.deepEqual({overlapCount, lostCount: lostIds.length, outcomes}, {overlapCount: 0, lostCount: options.lossesAfterMs.length, outcomes: {completed: 12}});
		});
	}

	const insideJobs: Array<{title: string; options: CutZoneReplayOptions}> = [
		{title: 'alone', options: {lossesAfterMs: [], outsideJobCount: 0, insideJobCount: 12}},
		{title: 'alone, and a placer is killed', options: {lossesAfterMs: [250], outsideJobCount: 0, insideJobCount: 12}},
		{title: 'beside runs that nobody behind the cut knows', options: {lossesAfterMs: [], outsideJobCount: 6, insideJobCount: 6}},
		{title: 'beside runs that nobody behind the cut knows, and a placer is killed', options: {lossesAfterMs: [250], outsideJobCount: 6, insideJobCount: 6}},
	];
	for (const {title, options} of insideJobs) {
		// Guards against runs that lapse because the next placer grants no lease until it knows each run.
		it(`lets the runs of jobs from behind the cut go on: ${title}`, async () => {
			const {insideEnds} = await replayCutZone(options);
			assert.deepEqual(insideEnds, {done: options.insideJobCount});
		});
	}

	for (const lossesAfterMs of [[], [250], [250, 250]]) {
		// Guards against two runs at once of a job that is handed over to a placer behind the cut while the one outside has it, too.
		it(`starts no task again of a job that callers on both sides of the cut wait for: ${lossesAfterMs.length} placers are lost`, async () => {
			const {overlapCount} = await replayCutZone({lossesAfterMs, outsideJobCount: 4, sharedJobCount: 4});
			assert.equal(overlapCount, 0);
		});
	}

	// Random losses of up to three placers, with lost, doubled and late messages and late orders; `npm run explore:cut-zone` plays more.
	for (const seed of [1, 2, 4, 5, 10, 12]) {
		it(`starts no task again while it runs: seed ${seed}`, async () => {
			const {overlapCount} = await replayCutZone(getCutZoneLife(seed));
			assert.equal(overlapCount, 0);
		});
	}
});
