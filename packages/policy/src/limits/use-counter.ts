import type {TimerService} from '@camphortack/core';
import {clockDriftFactor} from './limit-constants.js';

/** Counts what one daemon holds of one dimension: reservations, and amounts spent within the window. */
export type UseCounter = {
	reserve(amount: number): void;
	release(amount: number): void;
	/** Counts an amount for the length of the window. */
	spend(amount: number, windowMs: number): SpentAmount;
	/** Cancels part of a spent amount that was not used. */
	cancelSpent(spent: SpentAmount, amount: number): void;
	getHeld(): number;
};

/** The total amount spent within one time bucket. */
export type SpentAmount = {
	amount: number;
	readonly expiresAtMs: number;
	isEnded: boolean;
};

/** Amounts spent within this fraction of the window are counted in one bucket. */
const bucketsPerWindow = 64;

/** Creates a counter at zero. Its memory is bounded regardless of the number of uses. */
export function createUseCounter(timers: TimerService): UseCounter {
	const spentAmounts: SpentAmount[] = [];
	let reserved = 0;
	let spentTotal = 0;

	function expireSpent(): void {
		const nowMs = timers.getNowMs();
		let expiredCount = 0;
		while (expiredCount < spentAmounts.length && spentAmounts[expiredCount]!.expiresAtMs <= nowMs) {
			const spent = spentAmounts[expiredCount]!;
			spentTotal -= spent.amount;
			spent.isEnded = true;
			expiredCount++;
		}

		spentAmounts.splice(0, expiredCount);
		if (spentAmounts.length === 0) {
			spentTotal = 0;
		}
	}

	function spend(amount: number, windowMs: number): SpentAmount {
		expireSpent();
		const bucketMs = windowMs / bucketsPerWindow;
		const earliestExpiryMs = timers.getNowMs() + (windowMs * clockDriftFactor);
		let last = spentAmounts.at(-1);
		if (last === undefined || last.expiresAtMs < earliestExpiryMs) {
			last = {amount: 0, expiresAtMs: earliestExpiryMs + bucketMs, isEnded: false};
			spentAmounts.push(last);
		}

		last.amount += amount;
		spentTotal += amount;
		return last;
	}

	function cancelSpent(spent: SpentAmount, amount: number): void {
		if (!spent.isEnded) {
			spent.amount -= amount;
			spentTotal -= amount;
		}
	}

	return {
		reserve(amount) {
			reserved += amount;
		},
		release(amount) {
			reserved = Math.max(0, reserved - amount);
		},
		spend,
		cancelSpent,
		getHeld() {
			expireSpent();
			return reserved + spentTotal;
		},
	};
}
