import {TimerService, type TimerSubscription} from '@camphortack/core';
import type {VirtualTimers} from '@camphortack/testkit';

/** The clock of one VM: runs a little fast or slow, and fires nothing while its process is paused. */
export class NodeTimers extends TimerService {
	#isPaused = false;
	#isStopped = false;
	#missed: Array<() => void> = [];

	constructor(private readonly timers: VirtualTimers, private readonly rate: number) {
		super();
	}

	get isPaused(): boolean {
		return this.#isPaused;
	}

	override getNowMs(): number {
		return this.timers.getNowMs() * this.rate;
	}

	override addTimer(delayMs: number, onFire: () => void): TimerSubscription {
		let isCancelled = false;
		this.timers.addTimer(delayMs / this.rate, () => {
			this.run(() => {
				if (!isCancelled) {
					onFire();
				}
			});
		});
		return {
			cancel() {
				isCancelled = true;
			},
		};
	}

	override addInterval(intervalMs: number, onFire: () => void): TimerSubscription {
		const subscription = this.timers.addInterval(intervalMs / this.rate, () => {
			if (!this.#isPaused && !this.#isStopped) {
				onFire();
			}
		});
		return subscription;
	}

	/** Runs something now, or when the process goes on. */
	run(action: () => void): void {
		if (this.#isStopped) {
			return;
		}

		if (this.#isPaused) {
			this.#missed.push(action);
		} else {
			action();
		}
	}

	pause(): void {
		this.#isPaused = true;
	}

	resume(): void {
		this.#isPaused = false;
		const missed = this.#missed;
		this.#missed = [];
		for (const action of missed) {
			this.run(action);
		}
	}

	stop(): void {
		this.#isStopped = true;
	}
}
