import {performance} from 'node:perf_hooks';
import {TimerService, type TimerSubscription} from '@camphortack/core';

/** Timers of the event loop, with the monotonic clock of the process. */
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

	/** Cancels all timers when the daemon stops. */
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
