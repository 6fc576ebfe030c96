import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {CrashedRun} from '../../src/crashes/find-suspect-run.js';
import {judgeCrash} from '../../src/crashes/judge-crash.js';

function createRun(taskName: string, ageMs: number | undefined, rest: Partial<CrashedRun> = {}): CrashedRun {
	return {
		taskName, runNumber: 1, jobId: taskName, queueName: 'estimates', ageMs, state: 'running', ...rest,
	};
}

describe('judgeCrash', () => {
	const foreign = createRun('foreign', 300);
	const rows: Array<{title: string; runs: CrashedRun[]; otherFailures?: CrashedRun[][]; expected: string[]}> = [
		{title: 'no run', runs: [], expected: []},
		{title: 'a new run among older ones', runs: [createRun('new', 12), createRun('old', 300)], expected: ['new strong suspect', 'old weak']},
		{
			title: 'new runs of one job', runs: [createRun('one', 12, {jobId: 'job'}), createRun('two', 13, {jobId: 'job'})], expected: ['one strong suspect', 'two strong'],
		},
		{
			title: 'new runs of two jobs', runs: [createRun('one', 12), createRun('two', 13)], expected: ['one medium suspect', 'two medium'],
		},
		{title: 'a new run whose start was not answered', runs: [createRun('new', 12, {state: 'starting'})], expected: ['new weak suspect']},
		{title: 'old runs', runs: [createRun('old', 150), createRun('older', 300)], expected: ['old weak', 'older weak']},
		{title: 'a run of an earlier placer', runs: [createRun('adopted', undefined)], expected: ['adopted weak']},
		{
			title: 'an old run while others fail', runs: [createRun('old', 150)], otherFailures: [[foreign]], expected: [],
		},
		{
			title: 'a run while a backend server without runs fails', runs: [createRun('old', 150)], otherFailures: [[]], expected: [],
		},
		{
			title: 'a new run while others fail', runs: [createRun('new', 12), createRun('old', 150)], otherFailures: [[foreign]], expected: ['new weak'],
		},
		{
			title: 'a new run while others with new runs fail', runs: [createRun('new', 12)], otherFailures: [[createRun('other', 12)]], expected: ['new medium suspect'],
		},
		{
			title: 'a new run while others fail that run the same job',
			runs: [createRun('new', 12, {jobId: 'job'})],
			otherFailures: [[createRun('other', 12, {jobId: 'job'}), foreign]],
			expected: ['new strong suspect'],
		},
		{
			title: 'an old run while others fail that run the same job',
			runs: [createRun('old', 150, {jobId: 'job'})],
			otherFailures: [[createRun('other', 150, {jobId: 'job'})]],
			expected: ['old weak'],
		},
	];
	for (const {title, runs, otherFailures = [], expected} of rows) {
		it(`${title} → ${expected.join(', ') || 'nothing'}`, () => {
			const judged = judgeCrash(runs, {otherFailures, getSuspectCount: () => 0});
			assert.deepEqual(judged.map(({run, evidence, isSuspect}) => `${run.taskName} ${evidence}${isSuspect ? ' suspect' : ''}`), expected);
		});
	}
});
