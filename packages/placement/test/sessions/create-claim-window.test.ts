import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createClaimWindow} from '../../src/sessions/create-claim-window.js';

type Action = 'claim' | 'retry' | {responseMs: number | undefined};

/** Repeats an action. */
function repeat(action: Action, count: number): Action[] {
	return Array.from({length: count}, () => action);
}

function getSent(actions: readonly Action[], isBehind = false): string[] {
	const window = createClaimWindow(() => isBehind);
	const sent: string[] = [];
	for (const action of actions) {
		if (typeof action === 'string') {
			window.enter(action === 'retry', () => {
				sent.push(action);
			});
		} else {
			window.leave(action.responseMs);
		}
	}

	return sent;
}

describe('createClaimWindow', () => {
	const rows: Array<{title: string; actions: Action[]; sentCount: number}> = [
		{title: 'few claims', actions: repeat('claim', 3), sentCount: 3},
		{title: 'many claims', actions: repeat('claim', 50), sentCount: 8},
		{title: 'a quick answer', actions: [...repeat('claim', 50), {responseMs: 2}], sentCount: 10},
		{title: 'a slow answer', actions: [...repeat('claim', 50), {responseMs: 90}], sentCount: 9},
		{title: 'no answer', actions: [...repeat('claim', 50), {responseMs: undefined}], sentCount: 9},
		{title: 'quick answers to all', actions: [...repeat('claim', 50), ...repeat({responseMs: 2}, 24)], sentCount: 50},
	];
	for (const {title, actions, sentCount} of rows) {
		it(`${title} → ${sentCount} sent`, () => {
			assert.equal(getSent(actions).length, sentCount);
		});
	}

	// Guards against starts that wait behind claims for processor time.
	it('keeps three claims in flight while the VM is behind', () => {
		assert.equal(getSent([...repeat('claim', 50), {responseMs: 2}, {responseMs: 90}], true).length, 5);
	});

	it('sends retries after the other claims', () => {
		const sent = getSent([...repeat('claim', 8), 'retry', 'claim', {responseMs: 90}, {responseMs: 90}]);
		assert.deepEqual(sent.slice(8), ['claim', 'retry']);
	});
});
