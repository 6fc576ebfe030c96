import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import type {StartStopResponse} from '../../src/index.js';
import {createCallTimeouts} from '../../src/sessions/create-call-timeouts.js';
import {createRequestResender, type CopiedResponse} from '../../src/sessions/create-request-resender.js';
import {createLossEstimator} from '../../src/sessions/loss-estimator.js';
import {runFor} from '../support/run-for.js';

type Copy = 'answered' | 'lost' | 'refused' | 'rejected';

const responseMs = 2;
const runMs = 1000;

async function sendCopies(copies: readonly Copy[], {isSlow = false, neededMs = Infinity} = {}): Promise<{copyCount: number; result: CopiedResponse<StartStopResponse> | undefined}> {
	const timers = new VirtualTimers();
	const callTimeouts = createCallTimeouts(timers, () => isSlow);
	for (let count = 0; count < 20; count++) {
		callTimeouts.addResponse(responseMs);
	}

	const lossEstimator = createLossEstimator(timers, callTimeouts.areResponsesSlow);
	const resender = createRequestResender({
		timers, metrics: new RecordingMetricSink(), callTimeouts, lossEstimator,
	});
	let copyCount = 0;
	let result: CopiedResponse<StartStopResponse> | undefined;

	async function send(timeoutMs: number): Promise<StartStopResponse> {
		const copy = copies[copyCount];
		copyCount++;
		return new Promise(resolve => {
			timers.addTimer(copy === undefined || copy === 'lost' ? timeoutMs : responseMs, () => {
				if (copy === 'answered') {
					resolve({outcome: 'accepted', clockMs: 0});
				} else if (copy === 'rejected') {
					resolve({outcome: 'rejected', reason: 'old-run', clockMs: 0});
				} else {
					resolve({outcome: 'unanswered', reason: 'no response', isRefused: copy === 'refused'});
				}
			});
		});
	}

	void (async () => {
		result = await resender.send<StartStopResponse>({
			serverId: 'server', send, isNeeded: () => timers.getNowMs() < neededMs, minCopyCount: 3,
		});
	})();

	await runFor(timers, runMs);
	return {copyCount, result};
}

describe('createRequestResender', () => {
	const cases: Array<{title: string; copies: Copy[]; options?: {isSlow?: boolean; neededMs?: number}; copyCount: number; outcome: string; isRepeated: boolean}> = [
		{
			title: 'an answer to the first copy', copies: ['answered'], copyCount: 1, outcome: 'accepted', isRepeated: false,
		},
		{
			title: 'an answer to the second copy', copies: ['lost', 'answered'], copyCount: 2, outcome: 'accepted', isRepeated: true,
		},
		{
			title: 'a rejection of the third copy', copies: ['lost', 'lost', 'rejected'], copyCount: 3, outcome: 'rejected', isRepeated: true,
		},
		{
			title: 'no answer', copies: [], copyCount: 3, outcome: 'unanswered', isRepeated: true,
		},
		{
			title: 'a refused connection', copies: ['refused'], copyCount: 1, outcome: 'unanswered', isRepeated: false,
		},
		{
			title: 'no answer while responses are slow', copies: [], options: {isSlow: true}, copyCount: 1, outcome: 'unanswered', isRepeated: false,
		},
		{
			title: 'no answer to a request that is not needed any longer', copies: [], options: {neededMs: 15}, copyCount: 2, outcome: 'unanswered', isRepeated: true,
		},
	];
	for (const {title, copies, options, copyCount, outcome, isRepeated} of cases) {
		it(`${title} → ${outcome} after ${copyCount} copies`, async () => {
			const sent = await sendCopies(copies, options);
			assert.deepEqual({copyCount: sent.copyCount, outcome: sent.result?.response.outcome, isRepeated: sent.result?.isRepeated}, {copyCount, outcome, isRepeated});
		});
	}
});
