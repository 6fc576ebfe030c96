import {TimerService, type TimerSubscription} from '@camphortack/core';

/** The timers of one process, which can be paused: what falls due meanwhile fires once when it goes on. */
export class NodeTimers extends TimerService {
	#isPaused = false;
	readonly #timers: TimerService;
	readonly #due = new Set<() => void>();

	constructor(timers: TimerService) {
		super();
		this.#timers = timers;
	}

	override getNowMs(): number {
		return this.#timers.getNowMs();
	}

	override addTimer(delayMs: number, onFire: () => void): TimerSubscription {
		return this.#timers.addTimer(delayMs, () => {
			this.run(onFire);
		});
	}

	override addInterval(intervalMs: number, onFire: () => void): TimerSubscription {
		return this.#timers.addInterval(intervalMs, () => {
			this.run(onFire);
		});
	}

	/** Runs something now, or when the process goes on. */
	run(callback: () => void): void {
		if (this.#isPaused) {
			this.#due.add(callback);
		} else {
			callback();
		}
	}

	setPaused(isPaused: boolean): void {
		this.#isPaused = isPaused;
		const due = [...this.#due];
		this.#due.clear();
		for (const callback of due) {
			this.run(callback);
		}
	}
}
