import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getTaskVerdict, type TaskCrash, type TaskVerdict} from '../../src/crashes/get-task-verdict.js';

function createCrashes(count: number, rest: Partial<TaskCrash> = {}): TaskCrash[] {
	return Array.from({length: count}, () => ({
		evidence: 'strong', state: 'confirmed', ...rest,
	}));
}

describe('getTaskVerdict', () => {
	const rows: Array<{title: string; crashes: TaskCrash[]; expected: TaskVerdict}> = [
		{title: 'no crash', crashes: [], expected: 'startable'},
		{title: 'one crash that points to the task alone', crashes: createCrashes(1), expected: 'startable'},
		{title: 'two crashes that point to the task alone', crashes: createCrashes(2), expected: 'given-up'},
		{title: 'three crashes that may be of other tasks', crashes: createCrashes(3, {evidence: 'medium'}), expected: 'startable'},
		{title: 'four crashes that may be of other tasks', crashes: createCrashes(4, {evidence: 'medium'}), expected: 'given-up'},
		{title: 'one crash that may be of another task, one of the task alone', crashes: [...createCrashes(1, {evidence: 'medium'}), ...createCrashes(1)], expected: 'given-up'},
		{title: 'one crash of the task alone, three without a cause', crashes: [...createCrashes(1), ...createCrashes(3, {evidence: 'weak'})], expected: 'startable'},
		{title: 'four crashes without a cause', crashes: createCrashes(4, {evidence: 'weak'}), expected: 'startable'},
		{title: 'five crashes without a cause, each with a new run', crashes: createCrashes(5, {evidence: 'weak', isNew: true}), expected: 'given-up'},
		{
			title: 'five crashes without a cause, of which one run may have been over before',
			crashes: [...createCrashes(4, {evidence: 'weak', isNew: true}), ...createCrashes(1, {evidence: 'weak'})],
			expected: 'undecided',
		},
		{title: 'five crashes without a cause', crashes: createCrashes(5, {evidence: 'weak'}), expected: 'undecided'},
		{title: 'five crashes without a cause, not confirmed, of new runs', crashes: createCrashes(5, {evidence: 'weak', isNew: true, state: 'suspected'}), expected: 'held'},
		{title: 'two crashes, one of them refuted', crashes: [...createCrashes(1), ...createCrashes(1, {state: 'refuted'})], expected: 'startable'},
		{title: 'two crashes, one of them not confirmed', crashes: [...createCrashes(1), ...createCrashes(1, {state: 'suspected'})], expected: 'held'},
		{title: 'two crashes, neither of them confirmed', crashes: createCrashes(2, {state: 'suspected'}), expected: 'held'},
		{title: 'five silent backend servers, never confirmed', crashes: createCrashes(5, {evidence: 'weak', state: 'suspected'}), expected: 'held'},
	];
	for (const {title, crashes, expected} of rows) {
		it(`${title} → ${expected}`, () => {
			assert.equal(getTaskVerdict(crashes), expected);
		});
	}
});
