import type {TimerService, TimerSubscription} from '@camphortack/core';
import type {Keeper} from '../keeper/keeper-options.js';
import {maxEvacuationCheckMs} from './follower-timings.js';

/** Checks after the start of a keeper whether the evacuations on its disk are up to date. */
export type StartCheck = {
	/** Whether the evacuations of the daemon may be outdated, so that no task may start yet. */
	isPending(): boolean;
	stop(): void;
};

export type StartCheckOptions = {
	keeper: Keeper | undefined;
	timers: TimerService;
	/** Called once when the check ends, unless it was never pending. */
	onEnd: () => void;
};

/**
 * Creates the check. It covers a keeper that was down while an order was given. It is pending only on a keeper whose disk
 * has an earlier order: a daemon without a keeper gets the evacuations with its configuration, and a deployment that never
 * ordered an evacuation starts as before. Without a majority, the check ends after `maxEvacuationCheckMs`, since each side
 * of a partition goes on with what it knows.
 * @param options - The keeper of the daemon and the timers.
 */
export function createStartCheck({keeper, timers, onEnd}: StartCheckOptions): StartCheck {
	let isPending = keeper !== undefined && keeper.findEvacuations().revision > 0;
	const subscriptions: TimerSubscription[] = [];

	function end(): void {
		if (isPending) {
			stop();
			onEnd();
		}
	}

	function stop(): void {
		isPending = false;
		for (const subscription of subscriptions) {
			subscription.cancel();
		}
	}

	function check(): void {
		keeper?.confirm(isConfirmed => {
			if (isConfirmed) {
				end();
			} else if (isPending) {
				check();
			}
		});
	}

	if (isPending) {
		// The check is deferred, since a sole keeper confirms at once, and the caller has not finished its own creation then.
		subscriptions.push(timers.addTimer(0, check), timers.addTimer(maxEvacuationCheckMs, end));
	}

	return {isPending: () => isPending, stop};
}
