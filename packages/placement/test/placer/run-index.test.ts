import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRunIndex, type RunIndex} from '../../src/placer/run-index.js';
import type {Run} from '../../src/sessions/run.js';

function createRun(taskName: string, runNumber: number): Run {
	return {
		taskName, runNumber, needs: undefined, state: 'running', startedAtMs: 0, percent: 0, serverStartMs: undefined, serverReportMs: undefined,
	};
}

const first = createRun('task', 1);
const second = createRun('task', 2);

describe('createRunIndex', () => {
	const rows: Array<{title: string; change: (index: RunIndex<string>) => void; expected: string | undefined}> = [
		{
			title: 'no change',
			change() {
				// The run is still there.
			},
			expected: 'north 1',
		},
		{
			title: 'the run ends',
			change(index) {
				index.removeRun(first);
			},
			expected: undefined,
		},
		{
			title: 'a second run starts and the first one ends',
			change(index) {
				index.addRun(second, 'south');
				index.removeRun(first);
			},
			expected: 'south 2',
		},
		{
			title: 'its backend server is removed',
			change(index) {
				index.removeServer('north');
			},
			expected: undefined,
		},
		{
			title: 'another backend server is removed',
			change(index) {
				index.addRun(createRun('other', 1), 'south');
				index.removeServer('south');
			},
			expected: 'north 1',
		},
		{
			title: 'all runs are removed',
			change(index) {
				index.clear();
			},
			expected: undefined,
		},
	];
	for (const {title, change, expected} of rows) {
		it(`findRun: ${title} → ${expected ?? 'none'}`, () => {
			const index = createRunIndex<string>();
			index.addRun(first, 'north');
			change(index);
			const found = index.findRun('task');
			assert.equal(found === undefined ? undefined : `${found.server} ${found.run.runNumber}`, expected);
		});
	}
});
