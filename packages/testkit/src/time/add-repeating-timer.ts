import type {TimerService, TimerSubscription} from '@camphortack/core';

/**
 * Repeats a timer of a service that knows single ones. The next one is added before the callback runs.
 * @param timers - The service.
 * @param intervalMs - The time between two calls.
 * @param onFire - Called after each interval.
 */
export function addRepeatingTimer(timers: TimerService, intervalMs: number, onFire: () => void): TimerSubscription {
	let current: TimerSubscription;
	const schedule = () => {
		current = timers.addTimer(intervalMs, () => {
			schedule();
			onFire();
		});
	};

	schedule();
	return {
		cancel() {
			current.cancel();
		},
	};
}
