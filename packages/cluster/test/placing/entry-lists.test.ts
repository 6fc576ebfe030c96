import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {PlacementMessageOf} from '@camphortack/placement';
import {defaultRequest} from '../../../placement/test/support/create-test-placer.js';
import {createEntryLists} from '../../src/placing/entry-lists.js';

function getList(sequence: number | undefined, jobIds: string[], rest: Partial<PlacementMessageOf<'placement.open-jobs'>> = {}): PlacementMessageOf<'placement.open-jobs'> {
	return {
		kind: 'placement.open-jobs', jobIds, incarnation: 'one', sequence, ...rest,
	};
}

function getSubmission(sequence: number | undefined, incarnation = 'one'): PlacementMessageOf<'placement.submit'> {
	return {
		kind: 'placement.submit', request: {...defaultRequest, jobId: 'job'}, submissionId: 'first', incarnation, sequence, generation: 0, mayHaveStarted: false,
	};
}

describe('createEntryLists', () => {
	const lists: Array<{title: string; earlier: Array<PlacementMessageOf<'placement.open-jobs'>>; list: PlacementMessageOf<'placement.open-jobs'>; isAdded: boolean}> = [
		{
			title: 'the first list', earlier: [], list: getList(1, []), isAdded: true,
		},
		{
			title: 'a newer list', earlier: [getList(1, [])], list: getList(2, []), isAdded: true,
		},
		{
			title: 'an older list that arrives late', earlier: [getList(3, [])], list: getList(2, []), isAdded: false,
		},
		{
			title: 'a list that arrives twice', earlier: [getList(3, [])], list: getList(3, []), isAdded: false,
		},
		{
			title: 'a list of the next process', earlier: [getList(30, [])], list: getList(1, [], {incarnation: 'two'}), isAdded: true,
		},
		{
			title: 'a list of an earlier version, which names only some jobs', earlier: [], list: getList(undefined, []), isAdded: false,
		},
	];
	// Guards against a job that ends because of a list which was made before it was submitted.
	for (const {title, earlier, list, isAdded} of lists) {
		it(`${isAdded ? 'adds' : 'ignores'} ${title}`, () => {
			const entryLists = createEntryLists();
			for (const message of earlier) {
				entryLists.addList('entry', message);
			}

			assert.equal(entryLists.addList('entry', list) !== undefined, isAdded);
		});
	}

	const submissions: Array<{title: string; list: PlacementMessageOf<'placement.open-jobs'>; submission: PlacementMessageOf<'placement.submit'>; isOutdated: boolean}> = [
		{
			title: 'a submission after the list', list: getList(4, []), submission: getSubmission(5), isOutdated: false,
		},
		{
			title: 'a submission that the list has overtaken', list: getList(4, ['job']), submission: getSubmission(3), isOutdated: false,
		},
		{
			title: 'one that the list names without asking for its result', list: getList(4, [], {otherJobIds: ['job']}), submission: getSubmission(3), isOutdated: false,
		},
		{
			title: 'one that nobody waits for any more', list: getList(4, ['other']), submission: getSubmission(3), isOutdated: true,
		},
		{
			title: 'one of another process', list: getList(4, []), submission: getSubmission(3, 'two'), isOutdated: false,
		},
		{
			title: 'one of an earlier version', list: getList(4, []), submission: getSubmission(undefined), isOutdated: false,
		},
	];
	// Guards against the start of a job whose callers left while its submission was on the way.
	for (const {title, list, submission, isOutdated} of submissions) {
		it(`${isOutdated ? 'finds outdated' : 'accepts'} ${title}`, () => {
			const entryLists = createEntryLists();
			entryLists.addList('entry', list);
			assert.equal(entryLists.isOutdated('entry', submission), isOutdated);
		});
	}
});
