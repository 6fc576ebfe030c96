import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {getCopyCount} from '../../src/sessions/get-copy-count.js';
import {createLossEstimator} from '../../src/sessions/loss-estimator.js';

type Request = {serverId: string; isAnswered: boolean};

function getRequests(serverCount: number, answers: readonly boolean[]): Request[] {
	return answers.flatMap(isAnswered => Array.from({length: serverCount}, (_, position) => ({serverId: `server-${position}`, isAnswered})));
}

describe('createLossEstimator', () => {
	const cases: Array<{title: string; requests: Request[]; passedMs?: number; isSlow?: boolean; lossShare: number; isWidespread: boolean}> = [
		{
			title: 'no requests', requests: [], lossShare: 0, isWidespread: false,
		},
		{
			title: 'half of the requests to 20 backend servers', requests: getRequests(20, [false, true, false, true]), lossShare: 0.44, isWidespread: true,
		},
		{
			title: 'half of the requests, long ago', requests: getRequests(20, [false, true, false, true]), passedMs: 5000, lossShare: 0.03, isWidespread: false,
		},
		{
			title: 'half of the requests, while responses are slow', requests: getRequests(20, [false, true, false, true]), isSlow: true, lossShare: 0, isWidespread: true,
		},
		{
			title: 'all requests to backend servers that are cut off', requests: [...getRequests(20, [true, true]), ...getRequests(5, [false, false])], lossShare: 0, isWidespread: false,
		},
		{
			title: 'half of the requests to one of 20 backend servers', requests: [...getRequests(20, [true, true]), ...getRequests(1, [false, true])], lossShare: 0.02, isWidespread: false,
		},
	];
	for (const {title, requests, passedMs = 0, isSlow = false, lossShare, isWidespread} of cases) {
		it(`${title} → a share of ${lossShare}${isWidespread ? ', widespread' : ''}`, () => {
			const timers = new VirtualTimers();
			const lossEstimator = createLossEstimator(timers, () => isSlow);
			for (const {serverId, isAnswered} of requests) {
				if (isAnswered) {
					lossEstimator.addResponse(serverId);
				} else {
					lossEstimator.addUnanswered(serverId);
				}
			}

			timers.advance(passedMs);
			assert.deepEqual([Number(lossEstimator.getLossShare().toFixed(2)), lossEstimator.isWidespread()], [lossShare, isWidespread]);
		});
	}
});

describe('getCopyCount', () => {
	const cases = [
		{lossShare: 0, minCount: 1, count: 1},
		{lossShare: 0, minCount: 3, count: 3},
		{lossShare: 0.2, minCount: 1, count: 3},
		{lossShare: 0.35, minCount: 3, count: 5},
		{lossShare: 0.6, minCount: 1, count: 8},
	];
	for (const {lossShare, minCount, count} of cases) {
		it(`a loss of ${lossShare}, at least ${minCount} → ${count} copies`, () => {
			assert.equal(getCopyCount(lossShare, {failureShare: 0.01, minCount, maxCount: 8}), count);
		});
	}
});
