import type {TimerService} from '@camphortack/core';
import type {UseCounter} from './use-counter.js';

/**
 * Creates a counter whose amount leaks away at an even pace, as for a rate with a burst.
 * @param timers - The timer service.
 * @param getLeakPerMs - Gets the pace. Settle the counter with `getHeld` before the pace rises.
 */
export function createLeakingCounter(timers: TimerService, getLeakPerMs: () => number): UseCounter {
	let held = 0;
	let settledAtMs = timers.getNowMs();

	function getHeld(): number {
		const nowMs = timers.getNowMs();
		held = Math.max(0, held - ((nowMs - settledAtMs) * getLeakPerMs()));
		settledAtMs = nowMs;
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
			return {amount, endsAtMs: Infinity, isEnded: false};
		},
		cancelSpent(_spent, amount) {
			add(-amount);
		},
		getHeld,
	};
}
