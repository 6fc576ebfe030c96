import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {explainPlacement} from '../../src/queue/explain-placement.js';
import type {PlacementCandidate, PlacementTask} from '../../src/queue/placement-candidate.js';

const needs = {cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0};
const task: PlacementTask = {
	needs, requiredLabel: 'a', mostPerServer: 2, avoidedServerIds: new Set(['avoided']), runMs: 100, latestEndMs: 1220, waitedMs: 0,
};

function getCandidate(id: string, rest: Partial<PlacementCandidate> = {}): PlacementCandidate {
	return {
		id, freeCapacity: {cpuMillicores: 64_000, memoryMb: 1000, gpuCount: 0}, expectedChanges: [], speed: 1, grade: 'good', labels: ['a'], sameStepCount: 0, ...rest,
	};
}

const busy: Partial<PlacementCandidate> = {freeCapacity: {cpuMillicores: 0, memoryMb: 0, gpuCount: 0}, expectedChanges: [{atMs: 1040, ...needs}]};

describe('explainPlacement', () => {
	// Guards against an explanation that differs from what the placer does.
	const rows: Array<{candidate: PlacementCandidate; expected: {exclusion: string | undefined; waitMs: number | undefined; runMs: number; runCost: number}}> = [
		{
			candidate: getCandidate('free'), expected: {
				exclusion: undefined, waitMs: 0, runMs: 300, runCost: 30,
			},
		},
		{
			candidate: getCandidate('busy', busy), expected: {
				exclusion: 'capacity', waitMs: 40, runMs: 300, runCost: 30,
			},
		},
		{
			candidate: getCandidate('fast', {speed: 1.5}), expected: {
				exclusion: undefined, waitMs: 0, runMs: 200, runCost: 20,
			},
		},
		{
			candidate: getCandidate('suspect', {grade: 'suspect'}), expected: {
				exclusion: undefined, waitMs: 0, runMs: 300, runCost: 1030,
			},
		},
		{
			candidate: getCandidate('ejected', {grade: 'ejected'}), expected: {
				exclusion: 'ejected', waitMs: undefined, runMs: 300, runCost: 30,
			},
		},
		{
			candidate: getCandidate('avoided'), expected: {
				exclusion: 'avoided', waitMs: undefined, runMs: 300, runCost: 30,
			},
		},
		{
			candidate: getCandidate('other', {labels: ['b']}), expected: {
				exclusion: 'label', waitMs: undefined, runMs: 300, runCost: 30,
			},
		},
		{
			candidate: getCandidate('full', {sameStepCount: 2}), expected: {
				exclusion: 'most-per-server', waitMs: undefined, runMs: 300, runCost: 30,
			},
		},
	];
	for (const {candidate, expected} of rows) {
		it(`explains a far candidate: ${candidate.id}`, () => {
			const {candidates: [explained]} = explainPlacement({near: [], far: [candidate]}, task, {nowMs: 1000, remoteRunFactor: 3, contention: 0});
			const {exclusion, waitMs, runMs, runCost} = explained!;
			assert.deepEqual({
				exclusion, waitMs, runMs, runCost,
			}, expected);
		});
	}

	it('tells the choice', () => {
		const {choice, candidates} = explainPlacement({near: [getCandidate('near', busy)], far: [getCandidate('far')]}, task, {nowMs: 1000, remoteRunFactor: 3, contention: 0});
		assert.deepEqual(choice.outcome === 'wait' ? choice.untilMs : undefined, 1040);
		assert.deepEqual(candidates.map(({serverId, isFar}) => [serverId, isFar]), [['near', false], ['far', true]]);
	});
});
