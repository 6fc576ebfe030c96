import assert from 'node:assert/strict';
import {it} from 'node:test';
import {createWaitingSubmissions, type WaitingSubmissions} from '../../src/jobs/waiting-submissions.js';

const cases: Array<{name: string; act: (waiting: WaitingSubmissions) => void; expected: string | undefined}> = [
	{
		name: 'the latest submission',
		act(waiting) {
			waiting.add('first', 'entry-1');
			waiting.add('second', 'entry-2');
		},
		expected: 'entry-2',
	},
	{
		name: 'the submission that was repeated last',
		act(waiting) {
			waiting.add('first', 'entry-1');
			waiting.add('second', 'entry-2');
			waiting.add('first', 'entry-1');
		},
		expected: 'entry-1',
	},
	{
		name: 'the submission that is left',
		act(waiting) {
			waiting.add('first', 'entry-1');
			waiting.add('second', 'entry-2');
			waiting.remove('second');
		},
		expected: 'entry-1',
	},
	{
		name: 'the submission of the daemon that is left',
		act(waiting) {
			waiting.add('first', 'entry-1');
			waiting.add('second', 'entry-2');
			waiting.removeEntry('entry-2');
		},
		expected: 'entry-1',
	},
	{
		name: 'nobody after all have left',
		act(waiting) {
			waiting.add('first', 'entry-1');
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
