import type {TimerService} from '@camphortack/core';
import {clockDriftFactor} from './limit-constants.js';

/** What one daemon holds of one dimension: what is reserved, and what was spent a short while ago. */
export type UseCounter = {
	reserve(amount: number): void;
	release(amount: number): void;
	/** Counts an amount for the lag. */
	spend(amount: number, lagMs: number): SpentAmount;
	/** Takes back what was spent but not used after all. */
	cancelSpent(spent: SpentAmount, amount: number): void;
	getHeld(): number;
};

/** An amount spent within a short span of time. */
export type SpentAmount = {
	amount: number;
	readonly endsAtMs: number;
	isEnded: boolean;
};

/** Amounts spent within this part of the lag are counted together. */
const spansPerLag = 64;

/** Creates a counter at zero. Its memory is bounded whatever the number of uses. */
export function createUseCounter(timers: TimerService): UseCounter {
	const spentAmounts: SpentAmount[] = [];
	let reserved = 0;
	let spentTotal = 0;

	function endSpent(): void {
		const nowMs = timers.getNowMs();
		let ended = 0;
		while (ended < spentAmounts.length && spentAmounts[ended]!.endsAtMs <= nowMs) {
			const spent = spentAmounts[ended]!;
			spentTotal -= spent.amount;
			spent.isEnded = true;
			ended++;
		}

		spentAmounts.splice(0, ended);
		if (spentAmounts.length === 0) {
			spentTotal = 0;
		}
	}

	function spend(amount: number, lagMs: number): SpentAmount {
		endSpent();
		const spanMs = lagMs / spansPerLag;
		const earliestEndMs = timers.getNowMs() + (lagMs * clockDriftFactor);
		let last = spentAmounts.at(-1);
		if (last === undefined || last.endsAtMs < earliestEndMs) {
			last = {amount: 0, endsAtMs: earliestEndMs + spanMs, isEnded: false};
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
			endSpent();
			return reserved + spentTotal;
		},
	};
}
