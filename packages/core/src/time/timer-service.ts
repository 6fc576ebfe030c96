/** A handle on a pending timer. */
export type TimerSubscription = {
	/** Stops the timer. Calling it again has no effect. */
	cancel(): void;
};

/**
 * The one source of time. Parts subscribe to it and never read a clock themselves.
 *
 * @example
 * ```ts
 * const subscription = timers.addInterval(1000, () => {
 * 	renewLeases(timers.getNowMs());
 * });
 * subscription.cancel();
 * ```
 */
export abstract class TimerService {
	/** Gets the time in milliseconds on a clock that never goes back. It means nothing on another VM. */
	abstract getNowMs(): number;

	/**
	 * Calls back once.
	 * @param delayMs - How long to wait.
	 * @param onFire - Called when the delay has passed.
	 */
	abstract addTimer(delayMs: number, onFire: () => void): TimerSubscription;

	/**
	 * Calls back again and again until cancelled.
	 * @param intervalMs - The time between two calls.
	 * @param onFire - Called after each interval.
	 */
	abstract addInterval(intervalMs: number, onFire: () => void): TimerSubscription;
}
