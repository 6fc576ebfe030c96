import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findSuspectRun, type CrashedRun} from '../../src/crashes/find-suspect-run.js';

function createRun(taskName: string, queueName: string, ageMs: number | undefined): CrashedRun {
	return {
		taskName, runNumber: 1, jobId: taskName, queueName, ageMs, state: 'running',
	};
}

describe('findSuspectRun', () => {
	const rows: Array<{title: string; runs: CrashedRun[]; counts?: Record<string, number>; expected: string | undefined}> = [
		{title: 'no run', runs: [], expected: undefined},
		{title: 'a run that started long before', runs: [createRun('old', 'a', 300)], expected: undefined},
		{title: 'a run whose start is not known', runs: [createRun('adopted', 'a', undefined)], expected: undefined},
		{title: 'a new run among older ones', runs: [createRun('old', 'a', 300), createRun('new', 'b', 12)], expected: 'new'},
		{title: 'two new runs', runs: [createRun('newer', 'a', 10), createRun('new', 'b', 14)], expected: 'newer'},
		{
			title: 'two new runs, the older one of a queue with suspects',
			runs: [createRun('newer', 'a', 10), createRun('new', 'b', 14)],
			counts: {b: 1},
			expected: 'new',
		},
	];
	for (const {title, runs, counts = {}, expected} of rows) {
		it(`${title} → ${expected ?? 'none'}`, () => {
			assert.equal(findSuspectRun(runs, queueName => counts[queueName] ?? 0)?.taskName, expected);
		});
	}
});
