import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ActiveRun, EndedRun} from '../../src/index.js';
import {createRunTable, type RunTable} from '../../src/sessions/run-table.js';

const needs = {cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0};

function createFilledTable(): {runTable: RunTable; ends: string[]} {
	const ends: string[] = [];
	const runTable = createRunTable(() => 0, {
		onRunAdded() {
			// The tests look at the table.
		},
		onRunEnd({taskName, runNumber}, end) {
			ends.push(`${taskName}/${runNumber} ${end}`);
		},
	});
	runTable.addRun({taskName: 'starting', runNumber: 1, needs});
	runTable.addRun({taskName: 'running', runNumber: 2, needs}).state = 'running';
	runTable.addRun({taskName: 'stopping', runNumber: 3, needs}).state = 'stopping';
	return {runTable, ends};
}

function getActive(taskName: string, runNumber: number): ActiveRun {
	return {taskName, runNumber, percent: 40};
}

function getEnd(endNumber: number, taskName: string, runNumber: number): EndedRun {
	return {
		endNumber, taskName, runNumber, outcome: 'done',
	};
}

describe('createRunTable', () => {
	const reconciliations: Array<{name: string; active: ActiveRun[]; ends: string[]; remaining: string[]; unknown: string[]}> = [
		{
			name: 'all are listed',
			active: [getActive('starting', 1), getActive('running', 2), getActive('stopping', 3)],
			ends: [],
			remaining: ['starting running', 'running running', 'stopping stopping'],
			unknown: [],
		},
		{
			name: 'none is listed',
			active: [],
			ends: ['starting/1 unanswered', 'running/2 unlisted', 'stopping/3 unlisted'],
			remaining: [],
			unknown: [],
		},
		{
			name: 'another run of a task is listed',
			active: [getActive('starting', 1), getActive('running', 7), getActive('stopping', 3)],
			ends: ['running/2 unlisted'],
			remaining: ['starting running', 'stopping stopping', 'running running'],
			unknown: ['running/7'],
		},
		{
			name: 'a run of an earlier placer is listed',
			active: [getActive('starting', 1), getActive('running', 2), getActive('stopping', 3), getActive('foreign', 4)],
			ends: [],
			remaining: ['starting running', 'running running', 'stopping stopping', 'foreign running'],
			unknown: ['foreign/4'],
		},
	];
	for (const {name, active, ends: expectedEnds, remaining, unknown} of reconciliations) {
		it(`reconcile: ${name} → ${expectedEnds.length} ends, ${unknown.length} unknown`, () => {
			const {runTable, ends} = createFilledTable();
			runTable.reconcile(active, 1000);
			assert.deepEqual(ends, expectedEnds);
			assert.deepEqual([...runTable.getRuns().values()].map(({taskName, state}) => `${taskName} ${state}`), remaining);
			assert.deepEqual(runTable.getUnknownRuns().map(({taskName, runNumber}) => `${taskName}/${runNumber}`), unknown);
		});
	}

	const listings: Array<{name: string; lists: EndedRun[][]; ends: string[]; acknowledgedEndNumber: number}> = [
		{
			name: 'an end', lists: [[getEnd(1, 'running', 2)]], ends: ['running/2 done'], acknowledgedEndNumber: 1,
		},
		{
			name: 'the same end twice', lists: [[getEnd(1, 'running', 2)], [getEnd(1, 'running', 2), getEnd(2, 'stopping', 3)]], ends: ['running/2 done', 'stopping/3 done'], acknowledgedEndNumber: 2,
		},
		{
			name: 'the end of an earlier run', lists: [[getEnd(1, 'running', 1)]], ends: [], acknowledgedEndNumber: 1,
		},
		{
			name: 'the end of a run that an earlier placer started', lists: [[getEnd(5, 'other', 1)]], ends: ['other/1 done'], acknowledgedEndNumber: 5,
		},
	];
	for (const {name, lists, ends: expectedEnds, acknowledgedEndNumber} of listings) {
		it(`addEnds: ${name} → ${expectedEnds.length} ends, ${acknowledgedEndNumber} acknowledged`, () => {
			const {runTable, ends} = createFilledTable();
			for (const list of lists) {
				runTable.addEnds(list);
			}

			assert.deepEqual(ends, expectedEnds);
			assert.equal(runTable.getAcknowledgedEndNumber(), acknowledgedEndNumber);
		});
	}

	const leases: Array<{title: string; change: (runTable: RunTable) => void; expected: boolean}> = [
		{
			title: 'a run that an earlier placer started',
			change() {
				// The run stays unknown.
			},
			expected: false,
		},
		{
			title: 'its stop was requested, and may be lost',
			change(runTable) {
				runTable.getUnknownRuns()[0]!.state = 'stopping';
			},
			expected: false,
		},
		{
			title: 'its stop was accepted',
			change(runTable) {
				runTable.confirmStop(runTable.getUnknownRuns()[0]!);
			},
			expected: true,
		},
		{
			title: 'its job was submitted',
			change(runTable) {
				runTable.adoptRun(runTable.getUnknownRuns()[0]!, needs);
			},
			expected: true,
		},
		{
			title: 'it has ended',
			change(runTable) {
				runTable.addEnds([getEnd(1, 'unknown', 1)]);
			},
			expected: true,
		},
		{
			title: 'a later claim does not list it',
			change(runTable) {
				runTable.reconcile([], 0);
			},
			expected: true,
		},
	];
	for (const {title, change, expected} of leases) {
		// Guards against a lease that lengthens a run which another placer counts as over.
		it(`${title} → ${expected ? 'a lease' : 'no lease'}`, () => {
			const {runTable} = createFilledTable();
			assert.equal(runTable.isLeasePermitted(), true);
			runTable.reconcile([getActive('running', 2), getActive('unknown', 1)], 0);
			change(runTable);
			assert.equal(runTable.isLeasePermitted(), expected);
		});
	}
});
