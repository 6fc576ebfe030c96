import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {createCallWatch} from '../../src/sessions/create-call-watch.js';

type Call = number | 'silent' | 'renewal';

function repeat(call: Call, count: number): Call[] {
	return Array.from({length: count}, () => call);
}

describe('createCallWatch', () => {
	const cases: Array<{name: string; calls: Call[]; passedMs?: number; orderTimeoutMs: number; renewWaitMs: number}> = [
		{
			name: 'before any answer', calls: [], orderTimeoutMs: 150, renewWaitMs: 300,
		},
		{
			name: 'quick answers', calls: repeat(2, 20), orderTimeoutMs: 40, renewWaitMs: 300,
		},
		{
			name: 'slow answers', calls: repeat(60, 100), orderTimeoutMs: 60, renewWaitMs: 300,
		},
		{
			name: 'a single silence among quick answers', calls: [...repeat(2, 20), 'silent', ...repeat(2, 10)], orderTimeoutMs: 40, renewWaitMs: 300,
		},
		{
			name: 'one silence in ten', calls: [...repeat(2, 20), 'silent', ...repeat(2, 9), 'silent', ...repeat(2, 9), 'silent', ...repeat(2, 9)], orderTimeoutMs: 40, renewWaitMs: 40,
		},
		{
			name: 'unanswered renewals', calls: [...repeat(2, 20), ...repeat('renewal', 40)], orderTimeoutMs: 40, renewWaitMs: 40,
		},
		{
			name: 'nothing but silence', calls: [...repeat(2, 20), ...repeat('silent', 40)], orderTimeoutMs: 150, renewWaitMs: 300,
		},
		{
			name: 'silences of some time ago', calls: repeat('silent', 5), passedMs: 2000, orderTimeoutMs: 150, renewWaitMs: 300,
		},
	];
	for (const {name, calls, passedMs = 0, orderTimeoutMs, renewWaitMs} of cases) {
		it(`${name} → ${orderTimeoutMs} ms for an order, ${renewWaitMs} ms of waiting`, () => {
			const timers = new VirtualTimers();
			const watch = createCallWatch(timers);
			for (const call of calls) {
				if (call === 'silent') {
					watch.addUnansweredOrder();
				} else if (call === 'renewal') {
					watch.addUnansweredRenewal();
				} else {
					watch.addAnswer(call);
				}
			}

			timers.advance(passedMs);
			assert.deepEqual([watch.getOrderTimeoutMs(), watch.getRenewWaitMs()], [orderTimeoutMs, renewWaitMs]);
		});
	}
});
