import type {TimerService, TimerSubscription} from '@camphortack/core';

/**
 * Implements an interval with the single timers of a timer service. The next timer is added before the callback runs,
 * so that the callback can cancel the interval.
 * @param timers - The timer service.
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
