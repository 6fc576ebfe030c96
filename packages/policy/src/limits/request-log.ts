import type {TimerService} from '@camphortack/core';
import {leaseMs} from './limit-constants.js';

/** Numbers requests and keeps the time each was sent for as long as its grant could be valid. */
export type RequestLog = {
	addRequest(): number;
	findSentAtMs(sequence: number): number | undefined;
};

export function createRequestLog(timers: TimerService): RequestLog {
	const sentAtBySequence = new Map<number, number>();
	let lastSequence = 0;

	function addRequest(): number {
		const nowMs = timers.getNowMs();
		for (const [sequence, sentAtMs] of sentAtBySequence) {
			if (nowMs < sentAtMs + leaseMs) {
				break;
			}

			sentAtBySequence.delete(sequence);
		}

		sentAtBySequence.set(++lastSequence, nowMs);
		return lastSequence;
	}

	return {
		addRequest,
		findSentAtMs: sequence => sentAtBySequence.get(sequence),
	};
}
