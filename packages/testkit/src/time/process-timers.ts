import {TimerService, type TimerSubscription} from '@camphortack/core';
import {addRepeatingTimer} from './add-repeating-timer.js';

/** The timers of one process: its clock drifts, and while it is paused nothing runs. */
export class ProcessTimers extends TimerService {
	#isPaused = false;
	#waiting: Array<() => void> = [];
	readonly #timers: TimerService;
	readonly #rate: number;

	/**
	 * @param timers - The timers of the test.
	 * @param rate - How fast the clock runs, 1 being right.
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

	/** Runs a step of the process now, or once it is no longer paused. */
	run(step: () => void): void {
		if (this.#isPaused) {
			this.#waiting.push(step);
		} else {
			step();
		}
	}

	pause(): void {
		this.#isPaused = true;
	}

	resume(): void {
		this.#isPaused = false;
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const step of waiting) {
			step();
		}
	}
}
