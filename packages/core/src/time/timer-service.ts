/** A handle for a pending timer. */
export type TimerSubscription = {
	/** Stops the timer. Calling it again has no effect. */
	cancel(): void;
};

/**
 * The only source of time in a daemon. Components never read a clock directly, so that tests can run in virtual time.
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
	/** Gets the time of a monotonic clock, in milliseconds. Times of different VMs cannot be compared. */
	abstract getNowMs(): number;

	/**
	 * Schedules a callback.
	 * @param delayMs - The delay before the call.
	 * @param onFire - Called once, after the delay.
	 */
	abstract addTimer(delayMs: number, onFire: () => void): TimerSubscription;

	/**
	 * Schedules a callback that repeats until it is cancelled.
	 * @param intervalMs - The time between two calls.
	 * @param onFire - Called after each interval.
	 */
	abstract addInterval(intervalMs: number, onFire: () => void): TimerSubscription;
}
