import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {chooseMovedRuns, type NoticedRun} from '../../src/queue/choose-moved-runs.js';
import type {PlacementCandidate, PlacementTask} from '../../src/queue/placement-candidate.js';

type TestRun = NoticedRun & {id: string};
type RunPart = Partial<Omit<TestRun, 'task'>> & {task?: Partial<PlacementTask>};

const needs = {cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0};
const nowMs = 1000;
const lossMs = 1500;

/** A run of 900 ms that outlasts its notice by 300 ms and whose job leaves time for a new run. */
function getRun(id: string, {task, ...rest}: RunPart = {}): TestRun {
	return {
		id,
		task: {
			needs, avoidedServerIds: new Set(), runMs: 900, latestEndMs: 2400, waitedMs: 0, ...task,
		},
		dataRack: undefined,
		expectedEndMs: 1800,
		goneAtMs: 1500,
		doneMs: 100,
		...rest,
	};
}

function getServer(id: string, cores: number, rest: Partial<PlacementCandidate> = {}): PlacementCandidate {
	return {
		id, freeCapacity: {cpuMillicores: cores * 1000, memoryMb: 1000, gpuCount: 0}, expectedChanges: [], speed: 1, grade: 'good', labels: ['a', 'rack-1'], sameStepCount: 0, ...rest,
	};
}

const rows: Array<{title: string; runs: TestRun[]; servers?: PlacementCandidate[]; remoteRunFactor?: number; expected: string[]}> = [
	{title: 'a run that outlasts the notice is moved', runs: [getRun('one')], expected: ['one']},
	{title: 'a run that ends within the notice is left alone', runs: [getRun('one', {expectedEndMs: 1499})], expected: []},
	// Guards against stops of runs that would have ended before the stop took effect, on a backend server that stays for longer than its notice.
	{title: 'a run that ends at once is left alone after the notice', runs: [getRun('one', {expectedEndMs: 1050, goneAtMs: 900})], expected: []},
	{title: 'a run that goes on after the notice is moved', runs: [getRun('one', {goneAtMs: 900})], expected: ['one']},
	// Guards against runs that are thrown away for a result that is late in any case.
	{title: 'a run whose new run would miss the objective is left alone', runs: [getRun('one', {task: {latestEndMs: 1959}})], expected: []},
	{title: 'a run whose new run would just meet the objective is moved', runs: [getRun('one', {task: {latestEndMs: 1960}})], expected: ['one']},
	{
		title: 'without free capacity nothing is moved', runs: [getRun('one')], servers: [getServer('full', 26)], expected: [],
	},
	{
		title: 'without other backend servers nothing is moved', runs: [getRun('one')], servers: [], expected: [],
	},
	// Guards against stops of more runs than can start elsewhere, which then wait behind each other.
	{
		title: 'as many as there is capacity for, those that have done the least first',
		runs: [getRun('most', {doneMs: 500}), getRun('least', {doneMs: 50}), getRun('middle', {doneMs: 200})],
		servers: [getServer('free', 54)],
		expected: ['least', 'middle'],
	},
	{
		title: 'a smaller run fits where a larger one does not',
		runs: [getRun('large', {task: {needs: {...needs, cpuMillicores: 40_000}}}), getRun('small', {doneMs: 200})],
		servers: [getServer('free', 30)],
		expected: ['small'],
	},
	{
		title: 'backend servers that are ejected, avoided or without the label are no target',
		runs: [getRun('one', {task: {avoidedServerIds: new Set(['avoided']), requiredLabel: 'a'}})],
		servers: [getServer('ejected', 64, {grade: 'ejected'}), getServer('avoided', 64), getServer('other', 64, {labels: ['rack-1']})],
		expected: [],
	},
	{
		title: 'tasks that must be spread are not moved to one backend server together',
		runs: [getRun('one', {spreadKey: 'job 0'}), getRun('two', {spreadKey: 'job 0', doneMs: 200}), getRun('other', {spreadKey: 'job 1', doneMs: 300})],
		expected: ['one', 'other'],
	},
	// Guards against a move to a rack on which the new run ends later (1000 + 60 + 3 * 1500) than a near one after the loss (1500 + 1500 + 1500).
	{
		title: 'a far run that would end later than a near one after the loss',
		runs: [getRun('one', {dataRack: 'rack-2', task: {latestEndMs: 9000, runMs: 700}}), getRun('two', {dataRack: 'rack-2', task: {latestEndMs: 9000, runMs: 1500}})],
		remoteRunFactor: 3,
		expected: ['one'],
	},
];

describe('chooseMovedRuns', () => {
	for (const {title, runs, servers = [getServer('free', 64)], remoteRunFactor, expected} of rows) {
		it(`${title} → ${expected.join(', ') || 'none'}`, () => {
			assert.deepEqual(chooseMovedRuns(runs, servers, {nowMs, remoteRunFactor, lossMs}).map(({id}) => id), expected);
		});
	}

	it('leaves the described capacity as it is', () => {
		const server = getServer('free', 64);
		chooseMovedRuns([getRun('one')], [server], {nowMs, remoteRunFactor: undefined, lossMs});
		assert.equal(server.freeCapacity.cpuMillicores, 64_000);
	});
});
