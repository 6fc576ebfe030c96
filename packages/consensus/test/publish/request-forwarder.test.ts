import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {ProcessTimers, VirtualTimers} from '@camphortack/testkit';
import {createRequestForwarder} from '../../src/publish/request-forwarder.js';

describe('createRequestForwarder', () => {
	/** Gets the number of sends and the results 2 s after a request that nobody answers. */
	function submitUnanswered(pausedMs: number): {sends: number; results: string[]} {
		const timers = new VirtualTimers();
		const processTimers = new ProcessTimers(timers);
		const results: string[] = [];
		let sends = 0;
		const forwarder = createRequestForwarder<string, string>({
			timers: processTimers,
			random: createSeededRandomSource(1),
			resendMs: 200,
			timeoutMs: 900,
			timeoutResult: 'timeout',
			send() {
				sends++;
			},
		});
		forwarder.submit('order', result => {
			results.push(result);
		});
		if (pausedMs > 0) {
			processTimers.pause();
			timers.advance(pausedMs);
			processTimers.resume();
		}

		timers.advance(2000 - pausedMs);
		return {sends, results};
	}

	// Guards against an order that a suspended daemon resends when it wakes, after the operator has withdrawn it elsewhere.
	const rows = [
		{title: 'a daemon that runs', pausedMs: 0, expected: {sends: 5, results: ['timeout']}},
		// The closed connection is noticed only after the timers have run, so the first resend after a suspension is skipped.
		{title: 'a daemon that is suspended for 500 ms', pausedMs: 500, expected: {sends: 2, results: ['timeout']}},
		{title: 'a daemon that is suspended for 2 s', pausedMs: 2000, expected: {sends: 1, results: ['timeout']}},
	];
	for (const {title, pausedMs, expected} of rows) {
		it(`${title} → ${expected.sends} sends`, () => {
			assert.deepEqual(submitUnanswered(pausedMs), expected);
		});
	}
});
