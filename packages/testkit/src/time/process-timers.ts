import {TimerService, type TimerSubscription} from '@camphortack/core';
import {addRepeatingTimer} from './add-repeating-timer.js';

/** The timers of one simulated process. Its clock can drift, and callbacks that become due while it is paused run when it resumes. */
export class ProcessTimers extends TimerService {
	#isPaused = false;
	#deferred: Array<() => void> = [];
	readonly #timers: TimerService;
	readonly #rate: number;

	/**
	 * @param timers - The timer service of the test.
	 * @param rate - The speed of the clock relative to the test, where 1 means no drift.
	 */
	constructor(timers: TimerService, rate = 1) {
		super();
		this.#timers = timers;
		this.#rate = rate;
	}

	get isPaused(): boolean {
		return this.#isPaused;
	}

	override getNowMs(): number {
		return this.#timers.getNowMs() * this.#rate;
	}

	override addTimer(delayMs: number, onFire: () => void): TimerSubscription {
		let isCancelled = false;
		const timer = this.#timers.addTimer(delayMs / this.#rate, () => {
			this.run(() => {
				if (!isCancelled) {
					onFire();
				}
			});
		});
		return {
			cancel() {
				isCancelled = true;
				timer.cancel();
			},
		};
	}

	override addInterval(intervalMs: number, onFire: () => void): TimerSubscription {
		return addRepeatingTimer(this, intervalMs, onFire);
	}

	/** Runs a callback of the process, or defers it until the process resumes. */
	run(step: () => void): void {
		if (this.#isPaused) {
			this.#deferred.push(step);
		} else {
			step();
		}
	}

	pause(): void {
		this.#isPaused = true;
	}

	resume(): void {
		this.#isPaused = false;
		const deferred = this.#deferred;
		this.#deferred = [];
		for (const step of deferred) {
			step();
		}
	}
}
