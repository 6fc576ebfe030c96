import type {TimerService} from '@camphortack/core';

/** Decides when a placer runs its scheduling passes. */
export type PassScheduler = {
	/**
	 * Schedules a pass over the waiting jobs: immediately, or after a short delay if one has just run, so that runs
	 * that end together cause only one pass.
	 */
	schedulePass(): void;
	stop(): void;
};

/** Scheduling passes requested within this interval are combined into one. */
const minPassIntervalMs = 2;
const maxPassIntervalMs = 50;
/** A longer gap between two passes means that this process was suspended. */
const maxPassGapMs = 200;

/**
 * Creates the scheduler. Passes also run periodically: grades of backend servers change and jobs become too late without any
 * event.
 * @param timers - The clock.
 * @param runPass - Runs a pass.
 *
 * @example
 * ```ts
 * const passes = createPassScheduler(timers, runPass);
 * passes.schedulePass();
 * passes.schedulePass(); // One pass runs.
 * ```
 */
export function createPassScheduler(timers: TimerService, runPass: () => void): PassScheduler {
	let isPassScheduled = false;
	let lastPassAtMs = Number.NEGATIVE_INFINITY;
	let isStopped = false;
	const passInterval = timers.addInterval(maxPassIntervalMs, schedulePass);

	function schedulePass(): void {
		if (isPassScheduled || isStopped) {
			return;
		}

		isPassScheduled = true;
		if (timers.getNowMs() - lastPassAtMs < minPassIntervalMs) {
			timers.addTimer(minPassIntervalMs, runScheduledPass);
		} else {
			queueMicrotask(runScheduledPass);
		}
	}

	function runScheduledPass(): void {
		isPassScheduled = false;
		const gapMs = timers.getNowMs() - lastPassAtMs;
		lastPassAtMs = timers.getNowMs();
		if (Number.isFinite(gapMs) && gapMs > maxPassGapMs) {
			// The messages received meanwhile, such as an evacuation, are handled before any decision.
			schedulePass();
		} else if (!isStopped) {
			runPass();
		}
	}

	return {
		schedulePass,
		stop() {
			isStopped = true;
			passInterval.cancel();
		},
	};
}
