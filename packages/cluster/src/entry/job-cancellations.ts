import type {TimerService, TimerSubscription} from '@camphortack/core';

/** Cancels jobs at their placers and waits for the confirmations. */
export type JobCancellations = {
	/** Sends a cancellation until it is confirmed; calls back with whether it was confirmed in time. */
	cancelJob(jobId: string, send: () => void, onEnd: (isConfirmed: boolean) => void): void;
	/** Ends a cancellation, if there is one. */
	endCancellation(jobId: string, isConfirmed: boolean): void;
	/** Ends all cancellations as unconfirmed. */
	endAll(): void;
};

type Cancellation = {
	onEnd: (isConfirmed: boolean) => void;
	subscriptions: TimerSubscription[];
};

const resendIntervalMs = 250;
const confirmationTimeoutMs = 2500;

/**
 * Creates the cancellations of an entry daemon.
 * @param timers - The clock.
 *
 * @example
 * ```ts
 * const cancellations = createJobCancellations(timers);
 * cancellations.cancelJob('job', sendToPlacer, isConfirmed => { respond(isConfirmed); });
 * ```
 */
export function createJobCancellations(timers: TimerService): JobCancellations {
	const cancellations = new Map<string, Cancellation>();

	function endCancellation(jobId: string, isConfirmed: boolean): void {
		const cancellation = cancellations.get(jobId);
		if (cancellation === undefined) {
			return;
		}

		cancellations.delete(jobId);
		for (const subscription of cancellation.subscriptions) {
			subscription.cancel();
		}

		cancellation.onEnd(isConfirmed);
	}

	return {
		cancelJob(jobId, send, onEnd) {
			endCancellation(jobId, false);
			const timeout = timers.addTimer(confirmationTimeoutMs, () => {
				endCancellation(jobId, false);
			});
			cancellations.set(jobId, {onEnd, subscriptions: [timers.addInterval(resendIntervalMs, send), timeout]});
			send();
		},
		endCancellation,
		endAll() {
			for (const jobId of cancellations.keys()) {
				endCancellation(jobId, false);
			}
		},
	};
}
