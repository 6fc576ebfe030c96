import assert from 'node:assert/strict';
import {it} from 'node:test';
import {createWaitingSubmissions, type WaitingSubmissions} from '../../src/jobs/waiting-submissions.js';

const cases: Array<{name: string; act: (waiting: WaitingSubmissions) => void; expected: string | undefined}> = [
	{
		name: 'the latest submission',
		act(waiting) {
			waiting.add('first', {entryId: 'entry-1', incarnation: 'one'});
			waiting.add('second', {entryId: 'entry-2', incarnation: 'one'});
		},
		expected: 'entry-2',
	},
	{
		name: 'the submission that was repeated last',
		act(waiting) {
			waiting.add('first', {entryId: 'entry-1', incarnation: 'one'});
			waiting.add('second', {entryId: 'entry-2', incarnation: 'one'});
			waiting.add('first', {entryId: 'entry-1', incarnation: 'one'});
		},
		expected: 'entry-1',
	},
	{
		name: 'the submission that is left',
		act(waiting) {
			waiting.add('first', {entryId: 'entry-1', incarnation: 'one'});
			waiting.add('second', {entryId: 'entry-2', incarnation: 'one'});
			waiting.remove('second');
		},
		expected: 'entry-1',
	},
	{
		name: 'the submission of the daemon that is left',
		act(waiting) {
			waiting.add('first', {entryId: 'entry-1', incarnation: 'one'});
			waiting.add('second', {entryId: 'entry-2', incarnation: 'one'});
			waiting.removeEntry('entry-2');
		},
		expected: 'entry-1',
	},
	{
		name: 'the submission after the list that does not name the job',
		act(waiting) {
			waiting.add('first', {entryId: 'entry-1', incarnation: 'one'}, 3);
			waiting.add('second', {entryId: 'entry-1', incarnation: 'one'}, 5);
			waiting.removeUnlisted({
				entryId: 'entry-1', incarnation: 'one', sequence: 4, jobIds: new Set(),
			});
		},
		expected: 'entry-1',
	},
	{
		name: 'nobody after a list that does not name the job',
		act(waiting) {
			waiting.add('first', {entryId: 'entry-1', incarnation: 'one'}, 3);
			waiting.removeUnlisted({
				entryId: 'entry-1', incarnation: 'one', sequence: 4, jobIds: new Set(),
			});
		},
		expected: undefined,
	},
	{
		name: 'the submission of another process than the list',
		act(waiting) {
			waiting.add('first', {entryId: 'entry-1', incarnation: 'two'}, 3);
			waiting.removeUnlisted({
				entryId: 'entry-1', incarnation: 'one', sequence: 4, jobIds: new Set(),
			});
		},
		expected: 'entry-1',
	},
	{
		name: 'the submission of an earlier version, which has no number',
		act(waiting) {
			waiting.add('first', {entryId: 'entry-1', incarnation: 'one'});
			waiting.removeUnlisted({
				entryId: 'entry-1', incarnation: 'one', sequence: 4, jobIds: new Set(),
			});
		},
		expected: 'entry-1',
	},
	{
		name: 'nobody after all have left',
		act(waiting) {
			waiting.add('first', {entryId: 'entry-1', incarnation: 'one'});
			waiting.remove('first');
		},
		expected: undefined,
	},
];

// Guards against results that go to a daemon whose callers have left while another one's wait.
for (const {name, act, expected} of cases) {
	it(`finds the entry daemon of ${name}`, () => {
		const waiting = createWaitingSubmissions();
		act(waiting);
		assert.equal(waiting.findLastEntryId(), expected);
	});
}
