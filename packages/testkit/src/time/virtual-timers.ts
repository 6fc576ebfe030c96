import {Heap} from 'mnemonist';
import {TimerService, type TimerSubscription} from '@camphortack/core';
import {addRepeatingTimer} from './add-repeating-timer.js';

type PendingTimer = {
	dueAtMs: number;
	sequence: number;
	isCancelled: boolean;
	onFire: () => void;
};

/** A timer service with a virtual clock that only `advance` moves. */
export class VirtualTimers extends TimerService {
	#nowMs = 0;
	#sequence = 0;
	readonly #pending = new Heap<PendingTimer>((left, right) => left.dueAtMs - right.dueAtMs || left.sequence - right.sequence);

	override getNowMs(): number {
		return this.#nowMs;
	}

	override addTimer(delayMs: number, onFire: () => void): TimerSubscription {
		const timer: PendingTimer = {
			dueAtMs: this.#nowMs + Math.max(0, delayMs),
			sequence: this.#sequence++,
			isCancelled: false,
			onFire,
		};
		this.#pending.push(timer);
		return {
			cancel() {
				timer.isCancelled = true;
			},
		};
	}

	override addInterval(intervalMs: number, onFire: () => void): TimerSubscription {
		return addRepeatingTimer(this, intervalMs, onFire);
	}

	/**
	 * Advances the clock and fires all timers that become due, in order of their due times.
	 * @param durationMs - The duration by which the clock advances.
	 */
	advance(durationMs: number): void {
		const endMs = this.#nowMs + durationMs;
		while (this.#pending.size > 0 && this.#pending.peek()!.dueAtMs <= endMs) {
			const timer = this.#pending.pop()!;
			this.#nowMs = Math.max(this.#nowMs, timer.dueAtMs);
			if (!timer.isCancelled) {
				timer.onFire();
			}
		}

		this.#nowMs = endMs;
	}
}
