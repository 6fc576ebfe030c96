import {performance} from 'node:perf_hooks';
import {TimerService, type TimerSubscription} from '@camphortack/core';

/** The timers of this process, on its monotonic clock. */
export class SystemTimers extends TimerService {
	readonly #pending = new Set<NodeJS.Timeout>();

	override getNowMs(): number {
		return performance.now();
	}

	override addTimer(delayMs: number, onFire: () => void): TimerSubscription {
		const handle = setTimeout(() => {
			this.#pending.delete(handle);
			onFire();
		}, delayMs);
		return this.#addHandle(handle);
	}

	override addInterval(intervalMs: number, onFire: () => void): TimerSubscription {
		return this.#addHandle(setInterval(onFire, intervalMs));
	}

	/** Cancels every timer, at the end of the daemon. */
	cancelAll(): void {
		for (const handle of this.#pending) {
			clearTimeout(handle);
		}

		this.#pending.clear();
	}

	#addHandle(handle: NodeJS.Timeout): TimerSubscription {
		this.#pending.add(handle);
		return {
			cancel: () => {
				this.#pending.delete(handle);
				clearTimeout(handle);
			},
		};
	}
}
