import type {TimerService} from '@camphortack/core';

/**
 * - `good`: nothing speaks against it.
 * - `suspect`: used only where no good one has room.
 * - `ejected`: gets nothing until a pause is over, then one task at a time until one ends well.
 */
export type ServerGrade = 'good' | 'suspect' | 'ejected';

/** What runs have shown of one backend server. */
export type ServerHealth = {
	addSuccess(): void;
	/** Notes that a task of a job failed there. */
	addFailure(jobId: string): void;
	/** Notes that a task there stood still or was far slower than elsewhere. */
	addSlowness(jobId: string): void;
	/** Notes that an order for a job got no answer. */
	addSilence(jobId: string): void;
	getGrade(runCount: number): ServerGrade;
};

const suspectPauseMs = 1000;
const shortestEjectionMs = 1500;
const longestEjectionMs = 6000;
/** Jobs whose tasks must fail in a row, so that one bad job does not eject the backend servers that it visits. */
const jobsUntilEjected = 2;

/**
 * Creates the health record of a backend server.
 * @param timers - The time.
 * @param onEjected - Called at each ejection with its length.
 */
export function createServerHealth(timers: TimerService, onEjected: (pauseMs: number) => void): ServerHealth {
	const failedJobIds = new Set<string>();
	let suspectUntilMs = Number.NEGATIVE_INFINITY;
	let ejectedUntilMs = Number.NEGATIVE_INFINITY;
	let nextEjectionMs = shortestEjectionMs;
	let isOnTrial = false;

	function addBadSign(jobId: string): void {
		const nowMs = timers.getNowMs();
		failedJobIds.add(jobId);
		suspectUntilMs = nowMs + suspectPauseMs;
		if (failedJobIds.size >= jobsUntilEjected && nowMs >= ejectedUntilMs) {
			ejectedUntilMs = nowMs + nextEjectionMs;
			onEjected(nextEjectionMs);
			nextEjectionMs = Math.min(longestEjectionMs, nextEjectionMs * 2);
			isOnTrial = true;
		}
	}

	return {
		addSuccess() {
			failedJobIds.clear();
			if (timers.getNowMs() >= ejectedUntilMs) {
				isOnTrial = false;
				suspectUntilMs = Number.NEGATIVE_INFINITY;
				nextEjectionMs = shortestEjectionMs;
			}
		},
		addFailure: addBadSign,
		addSlowness: addBadSign,
		addSilence: addBadSign,
		getGrade(runCount) {
			const nowMs = timers.getNowMs();
			if (nowMs < ejectedUntilMs || (isOnTrial && runCount > 0)) {
				return 'ejected';
			}

			return isOnTrial || nowMs < suspectUntilMs ? 'suspect' : 'good';
		},
	};
}
