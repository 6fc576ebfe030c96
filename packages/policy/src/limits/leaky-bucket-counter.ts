import type {TimerService} from '@camphortack/core';
import type {UseCounter} from './use-counter.js';

/**
 * Creates a leaky-bucket counter for a rate with a burst: its amount drains at a constant rate.
 * @param timers - The timer service.
 * @param getLeakPerMs - Gets the drain rate. Call `getHeld` before the rate rises, so that the elapsed time is drained at
 * the old rate.
 */
export function createLeakyBucketCounter(timers: TimerService, getLeakPerMs: () => number): UseCounter {
	let held = 0;
	let updatedAtMs = timers.getNowMs();

	function getHeld(): number {
		const nowMs = timers.getNowMs();
		held = Math.max(0, held - ((nowMs - updatedAtMs) * getLeakPerMs()));
		updatedAtMs = nowMs;
		return held;
	}

	function add(amount: number): void {
		held = Math.max(0, getHeld() + amount);
	}

	return {
		reserve: add,
		release(amount) {
			add(-amount);
		},
		spend(amount) {
			add(amount);
			return {amount, expiresAtMs: Infinity, isEnded: false};
		},
		cancelSpent(_spent, amount) {
			add(-amount);
		},
		getHeld,
	};
}
