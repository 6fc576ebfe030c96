import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ActiveRun, EndedRun} from '../../src/index.js';
import {createRunBook, type RunBook} from '../../src/sessions/run-book.js';

const needs = {cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0};

function createBook(): {book: RunBook; ends: string[]} {
	const ends: string[] = [];
	const book = createRunBook(() => 0, ({taskName, runNumber}, how) => {
		ends.push(`${taskName}/${runNumber} ${how}`);
	});
	book.addRun({taskName: 'starting', runNumber: 1, needs});
	book.addRun({taskName: 'running', runNumber: 2, needs}).state = 'running';
	book.addRun({taskName: 'stopping', runNumber: 3, needs}).state = 'stopping';
	return {book, ends};
}

function getActive(taskName: string, runNumber: number): ActiveRun {
	return {taskName, runNumber, percent: 40};
}

function getEnd(endNumber: number, taskName: string, runNumber: number): EndedRun {
	return {
		endNumber, taskName, runNumber, outcome: 'done',
	};
}

describe('createRunBook', () => {
	const reconciliations: Array<{name: string; active: ActiveRun[]; ends: string[]; left: string[]; unknown: string[]}> = [
		{
			name: 'all are listed',
			active: [getActive('starting', 1), getActive('running', 2), getActive('stopping', 3)],
			ends: [],
			left: ['starting running', 'running running', 'stopping stopping'],
			unknown: [],
		},
		{
			name: 'none is listed',
			active: [],
			ends: ['starting/1 unanswered', 'running/2 lost', 'stopping/3 lost'],
			left: [],
			unknown: [],
		},
		{
			name: 'another run of a task is listed',
			active: [getActive('starting', 1), getActive('running', 7), getActive('stopping', 3)],
			ends: ['running/2 lost'],
			left: ['starting running', 'stopping stopping', 'running running'],
			unknown: ['running/7'],
		},
		{
			name: 'a run of an earlier placer is listed',
			active: [getActive('starting', 1), getActive('running', 2), getActive('stopping', 3), getActive('foreign', 4)],
			ends: [],
			left: ['starting running', 'running running', 'stopping stopping', 'foreign running'],
			unknown: ['foreign/4'],
		},
	];
	for (const {name, active, ends: expectedEnds, left, unknown} of reconciliations) {
		it(`reconcile: ${name} → ${expectedEnds.length} ends, ${unknown.length} unknown`, () => {
			const {book, ends} = createBook();
			book.reconcile(active, 1000);
			assert.deepEqual(ends, expectedEnds);
			assert.deepEqual([...book.getRuns().values()].map(({taskName, state}) => `${taskName} ${state}`), left);
			assert.deepEqual(book.getUnknownRuns().map(({taskName, runNumber}) => `${taskName}/${runNumber}`), unknown);
		});
	}

	const listings: Array<{name: string; lists: EndedRun[][]; ends: string[]; acknowledgedEnd: number}> = [
		{
			name: 'an end', lists: [[getEnd(1, 'running', 2)]], ends: ['running/2 done'], acknowledgedEnd: 1,
		},
		{
			name: 'the same end twice', lists: [[getEnd(1, 'running', 2)], [getEnd(1, 'running', 2), getEnd(2, 'stopping', 3)]], ends: ['running/2 done', 'stopping/3 done'], acknowledgedEnd: 2,
		},
		{
			name: 'the end of an earlier run', lists: [[getEnd(1, 'running', 1)]], ends: [], acknowledgedEnd: 1,
		},
		{
			name: 'the end of an unknown task', lists: [[getEnd(5, 'other', 1)]], ends: [], acknowledgedEnd: 5,
		},
	];
	for (const {name, lists, ends: expectedEnds, acknowledgedEnd} of listings) {
		it(`addEnds: ${name} → ${expectedEnds.length} ends, ${acknowledgedEnd} acknowledged`, () => {
			const {book, ends} = createBook();
			for (const list of lists) {
				book.addEnds(list);
			}

			assert.deepEqual(ends, expectedEnds);
			assert.equal(book.getAcknowledgedEnd(), acknowledgedEnd);
		});
	}
});
