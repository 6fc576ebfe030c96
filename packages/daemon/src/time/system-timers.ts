import {performance} from 'node:perf_hooks';
import {TimerService, type TimerSubscription} from '@camphortack/core';

/** The timers of this process, on its monotonic clock. */
export class SystemTimers extends TimerService {
	override getNowMs(): number {
		return performance.now();
	}

	override addTimer(delayMs: number, onFire: () => void): TimerSubscription {
		const handle = setTimeout(onFire, delayMs);
		return {
			cancel() {
				clearTimeout(handle);
			},
		};
	}

	override addInterval(intervalMs: number, onFire: () => void): TimerSubscription {
		const handle = setInterval(onFire, intervalMs);
		return {
			cancel() {
				clearInterval(handle);
			},
		};
	}
}
