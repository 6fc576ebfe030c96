import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {createCallTimeouts} from '../../src/sessions/create-call-timeouts.js';

type Call = number | 'unanswered' | 'renewal';

function repeat(call: Call, count: number): Call[] {
	return Array.from({length: count}, () => call);
}

describe('createCallTimeouts', () => {
	const cases: Array<{name: string; calls: Call[]; passedMs?: number; isBehind?: boolean; requestTimeoutMs: number; renewWaitMs: number}> = [
		{
			name: 'before any response', calls: [], requestTimeoutMs: 150, renewWaitMs: 300,
		},
		{
			name: 'fast responses', calls: repeat(2, 20), requestTimeoutMs: 40, renewWaitMs: 300,
		},
		{
			name: 'fast responses, read by a VM that is behind', calls: repeat(2, 20), isBehind: true, requestTimeoutMs: 150, renewWaitMs: 300,
		},
		{
			name: 'slow responses', calls: repeat(60, 100), requestTimeoutMs: 60, renewWaitMs: 300,
		},
		{
			name: 'a single unanswered request', calls: [...repeat(2, 20), 'unanswered', ...repeat(2, 10)], requestTimeoutMs: 40, renewWaitMs: 300,
		},
		{
			name: 'one unanswered request in ten',
			calls: [...repeat(2, 20), 'unanswered', ...repeat(2, 9), 'unanswered', ...repeat(2, 9), 'unanswered', ...repeat(2, 9)],
			requestTimeoutMs: 40,
			renewWaitMs: 40,
		},
		{
			name: 'unanswered renewals', calls: [...repeat(2, 20), ...repeat('renewal', 40)], requestTimeoutMs: 40, renewWaitMs: 40,
		},
		{
			name: 'only unanswered requests', calls: [...repeat(2, 20), ...repeat('unanswered', 40)], requestTimeoutMs: 150, renewWaitMs: 300,
		},
		{
			name: 'unanswered requests outside the window', calls: repeat('unanswered', 5), passedMs: 2000, requestTimeoutMs: 150, renewWaitMs: 300,
		},
	];
	for (const {name, calls, passedMs = 0, isBehind = false, requestTimeoutMs, renewWaitMs} of cases) {
		it(`${name} → ${requestTimeoutMs} ms request timeout, ${renewWaitMs} ms renewal wait`, () => {
			const timers = new VirtualTimers();
			const callTimeouts = createCallTimeouts(timers, () => isBehind);
			for (const call of calls) {
				if (call === 'unanswered') {
					callTimeouts.addUnansweredRequest();
				} else if (call === 'renewal') {
					callTimeouts.addUnansweredRenewal();
				} else {
					callTimeouts.addResponse(call);
				}
			}

			timers.advance(passedMs);
			assert.deepEqual([callTimeouts.getRequestTimeoutMs(), callTimeouts.getRenewWaitMs()], [requestTimeoutMs, renewWaitMs]);
		});
	}
});
