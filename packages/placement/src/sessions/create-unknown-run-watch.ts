import type {TimerService} from '@camphortack/core';
import type {Run} from './run.js';
import type {RunTable} from './run-table.js';
import {unknownRunCheckMs, unknownRunGraceMs} from './session-timings.js';

/** Why unknown runs are stopped, for the log. */
export type UnknownRunStopReason = 'no entry daemon waits for them' | 'no handover in time';

/** Stops the runs on a backend server whose jobs are not submitted to this placer. */
export type UnknownRunWatch = {
	/** Watches the unknown runs that an accepted claim has listed. */
	watchRuns(): void;
};

export type UnknownRunWatchOptions = {
	timers: TimerService;
	runTable: RunTable;
	/** Whether the job of a task may still be submitted by an entry daemon that waits for it. */
	isRunAwaited: (taskName: string) => boolean;
	isClosed: () => boolean;
	/** Called with unknown runs that are to be stopped. */
	onStop: (runs: readonly Run[], reason: UnknownRunStopReason) => void;
};

/**
 * Creates the watch of a session. No lease is granted while an unknown run is not being stopped, so where it shares the backend server with
 * known ones, it is stopped as soon as no entry daemon waits for its job.
 * @param options - The runs of the session.
 *
 * @example
 * ```ts
 * const unknownRunWatch = createUnknownRunWatch(options);
 * unknownRunWatch.watchRuns(); // After an accepted claim.
 * ```
 */
export function createUnknownRunWatch({timers, runTable, isRunAwaited, isClosed, onStop}: UnknownRunWatchOptions): UnknownRunWatch {
	let watchedSinceMs: number | undefined;

	function getPendingRuns(): Run[] {
		return runTable.getUnknownRuns().filter(({state}) => state !== 'stopping');
	}

	function checkLater(): void {
		timers.addTimer(unknownRunCheckMs, checkRuns);
	}

	function checkRuns(): void {
		if (isClosed()) {
			return;
		}

		if (timers.getNowMs() - watchedSinceMs! >= unknownRunGraceMs) {
			stopRuns(getPendingRuns(), 'no handover in time');
		} else if (runTable.hasKnownRuns()) {
			stopRuns(getPendingRuns().filter(({taskName}) => !isRunAwaited(taskName)), 'no entry daemon waits for them');
		}

		if (getPendingRuns().length > 0) {
			checkLater();
		} else {
			watchedSinceMs = undefined;
		}
	}

	function stopRuns(runs: readonly Run[], reason: UnknownRunStopReason): void {
		if (runs.length > 0) {
			onStop(runs, reason);
		}
	}

	return {
		watchRuns() {
			if (watchedSinceMs === undefined && getPendingRuns().length > 0) {
				watchedSinceMs = timers.getNowMs();
				checkLater();
			}
		},
	};
}
