import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {choosePlacement} from '../../src/queue/choose-placement.js';
import type {PlacementCandidate, PlacementContext, PlacementTask} from '../../src/queue/placement-candidate.js';

const needs = {cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0};
const task: PlacementTask = {
	needs, avoidedServerIds: new Set(), runMs: 100, latestEndMs: 1220, waitedMs: 0,
};
const context: PlacementContext = {nowMs: 1000, remoteRunFactor: undefined, contention: 0};

function getCandidate(id: string, cores: number, rest: Partial<PlacementCandidate> = {}): PlacementCandidate {
	return {
		id, freeCapacity: {cpuMillicores: cores * 1000, memoryMb: 1000, gpuCount: 0}, expectedChanges: [], speed: 1, grade: 'good', labels: ['a', 'rack-1'], sameStepCount: 0, ...rest,
	};
}

/** A backend server without free capacity, on which a run ends after a time. */
function getBusy(id: string, endsInMs: number, rest: Partial<PlacementCandidate> = {}): PlacementCandidate {
	return getCandidate(id, 0, {expectedChanges: [{atMs: context.nowMs + endsInMs, ...needs}], ...rest});
}

type ChoiceRow = {
	title: string;
	near?: readonly PlacementCandidate[];
	far?: readonly PlacementCandidate[];
	task?: Partial<PlacementTask>;
	context?: Partial<PlacementContext>;
	/** The outcome with the id of the backend server and, for a wait, its length. */
	expected: string;
};

function getChoice({near = [], far = [], task: taskPart, context: contextPart}: ChoiceRow): string {
	const choice = choosePlacement({near, far}, {...task, ...taskPart}, {...context, ...contextPart});
	switch (choice.outcome) {
		case 'place': {
			return `place ${choice.candidate.id}`;
		}

		case 'wait': {
			return `wait ${choice.candidate.id} ${choice.untilMs - context.nowMs}`;
		}

		case 'none': {
			return 'none';
		}
	}
}

function testRows(rows: readonly ChoiceRow[]): void {
	for (const row of rows) {
		it(`${row.title} → ${row.expected}`, () => {
			assert.equal(getChoice(row), row.expected);
		});
	}
}

describe('choosePlacement without a distance factor', () => {
	testRows([
		{title: 'the tightest fit', near: [getCandidate('wide', 64), getCandidate('tight', 30)], expected: 'place tight'},
		{title: 'none has enough cores', near: [getCandidate('small', 26)], expected: 'none'},
		{title: 'a good one over a tighter suspect one', near: [getCandidate('suspect', 27, {grade: 'suspect'}), getCandidate('good', 64)], expected: 'place good'},
		{title: 'a suspect one if there is no good one', near: [getCandidate('suspect', 64, {grade: 'suspect'})], expected: 'place suspect'},
		{
			title: 'a good far one over a suspect near one', near: [getCandidate('suspect', 27, {grade: 'suspect'})], far: [getCandidate('good', 64)], expected: 'place good',
		},
		{title: 'no ejected one', near: [getCandidate('ejected', 64, {grade: 'ejected'})], expected: 'none'},
		{
			title: 'one with the required label', near: [getCandidate('plain', 27), getCandidate('labelled', 64, {labels: ['b']})], task: {requiredLabel: 'b'}, expected: 'place labelled',
		},
		{
			title: 'one in the rack of the data', near: [getCandidate('near', 64)], far: [getCandidate('far', 27)], expected: 'place near',
		},
		{
			title: 'a far one, at once, if the rack is full', near: [getBusy('near', 1)], far: [getCandidate('far', 27)], expected: 'place far',
		},
		{
			title: 'one with fewer tasks of the step', near: [getCandidate('used', 30, {sameStepCount: 2}), getCandidate('free', 64)], task: {mostPerServer: 2}, expected: 'place free',
		},
		{
			title: 'none that the task avoids', near: [getCandidate('failed', 30), getCandidate('other', 64)], task: {avoidedServerIds: new Set(['failed'])}, expected: 'place other',
		},
		{title: 'the fastest one', near: [getCandidate('slow', 30, {speed: 0.7}), getCandidate('fast', 64, {speed: 1.7})], expected: 'place fast'},
		{title: 'the tightest fit among nearly equal speeds', near: [getCandidate('wide', 64, {speed: 1.02}), getCandidate('tight', 30, {speed: 0.99})], expected: 'place tight'},
	]);
});

describe('choosePlacement with a distance factor', () => {
	const factor = (remoteRunFactor: number, contention = 0) => ({context: {remoteRunFactor, contention}});
	testRows([
		{
			title: 'waits if the near run ends before a far one', near: [getBusy('near', 40)], far: [getCandidate('far', 27)], ...factor(1.5), task: {latestEndMs: 2000}, expected: 'wait near 40',
		},
		{
			title: 'runs far if the wait costs more than the distance', near: [getBusy('near', 60)], far: [getCandidate('far', 27)], ...factor(1.5), expected: 'place far',
		},
		// Guards against waits that begin again with each mistaken estimate.
		{
			title: 'runs far if the task has waited for most of what it can save',
			near: [getBusy('near', 20)],
			far: [getCandidate('far', 27)],
			...factor(1.5),
			task: {waitedMs: 40},
			expected: 'place far',
		},
		{
			title: 'waits longer if a far run delays other work', near: [getBusy('near', 60)], far: [getCandidate('far', 27)], ...factor(1.5, 1), expected: 'wait near 60',
		},
		// Guards against waits for the benefit of others that leave neither place in time if the expectation proves wrong.
		{
			title: 'does not wait for the benefit of others beyond the last far start in time', near: [getBusy('near', 80)], far: [getCandidate('far', 27)], ...factor(1.5, 1), expected: 'place far',
		},
		{
			title: 'waits if only the near run is in time', near: [getBusy('near', 110)], far: [getCandidate('far', 27)], ...factor(3), expected: 'wait near 110',
		},
		// Guards against a task that is held until its result is of no use.
		{
			title: 'runs far if both are late without contention', near: [getBusy('near', 150)], far: [getCandidate('far', 27)], ...factor(3), expected: 'place far',
		},
		{
			title: 'leaves capacity to other work rather than run late', near: [getBusy('near', 150)], far: [getCandidate('far', 27)], ...factor(3, 0.5), expected: 'none',
		},
		// Guards against idle backend servers while work waits.
		{
			title: 'runs far under contention if the wait is longer than the far run', near: [getBusy('near', 250)], far: [getCandidate('far', 27)], ...factor(3, 1), expected: 'place far',
		},
		{
			title: 'runs far if the near backend servers are ejected', near: [getBusy('near', 1, {grade: 'ejected'})], far: [getCandidate('far', 27)], ...factor(3, 1), expected: 'place far',
		},
		{
			title: 'a fast far one rather than slow near', near: [getCandidate('near', 27, {speed: 0.7})], far: [getCandidate('far', 27, {speed: 1.7})], ...factor(1.5), expected: 'place far',
		},
		{
			title: 'expects to wait behind a task that was promised the capacity',
			near: [getCandidate('near', 0, {
				expectedChanges: [
					{atMs: 1020, ...needs},
					{
						atMs: 1020, cpuMillicores: -27_000, memoryMb: -64, gpuCount: 0,
					},
					{atMs: 1080, ...needs},
				],
			})],
			...factor(3),
			expected: 'wait near 80',
		},
	]);
});
