import {performance} from 'node:perf_hooks';
import {TimerService, type TimerSubscription} from '@camphortack/core';

/** The platform lets timers with a longer delay fire at once. */
const maxPlatformDelayMs = 2_147_483_647;

/** Timers of the event loop, with the monotonic clock of the process. */
export class SystemTimers extends TimerService {
	readonly #pending = new Set<NodeJS.Timeout>();

	override getNowMs(): number {
		return performance.now();
	}

	override addTimer(delayMs: number, onFire: () => void): TimerSubscription {
		if (delayMs > maxPlatformDelayMs) {
			return this.#addLongTimer(delayMs, onFire);
		}

		const handle = setTimeout(() => {
			this.#pending.delete(handle);
			onFire();
		}, delayMs);
		return this.#addHandle(handle);
	}

	override addInterval(intervalMs: number, onFire: () => void): TimerSubscription {
		if (intervalMs > maxPlatformDelayMs) {
			return this.#addLongInterval(intervalMs, onFire);
		}

		return this.#addHandle(setInterval(onFire, intervalMs));
	}

	/** Cancels all timers when the daemon stops. */
	cancelAll(): void {
		for (const handle of this.#pending) {
			clearTimeout(handle);
		}

		this.#pending.clear();
	}

	#addLongTimer(delayMs: number, onFire: () => void): TimerSubscription {
		let part = this.addTimer(maxPlatformDelayMs, () => {
			part = this.addTimer(delayMs - maxPlatformDelayMs, onFire);
		});
		return {
			cancel() {
				part.cancel();
			},
		};
	}

	#addLongInterval(intervalMs: number, onFire: () => void): TimerSubscription {
		const repeat = () => {
			timer = this.addTimer(intervalMs, repeat);
			onFire();
		};

		let timer = this.addTimer(intervalMs, repeat);
		return {
			cancel() {
				timer.cancel();
			},
		};
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
