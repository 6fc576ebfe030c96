import type {TimerService} from '@camphortack/core';

/**
 * - `good`: no recent problem.
 * - `suspect`: used only if no good backend server has enough free capacity.
 * - `ejected`: gets no tasks until the ejection expires, then one task at a time until one succeeds.
 */
export type ServerGrade = 'good' | 'suspect' | 'ejected';

/** Passive health check of one backend server, from the results of its runs. */
export type ServerHealth = {
	addSuccess(): void;
	/** Records that a task of a job failed on the backend server. */
	addFailure(jobId: string): void;
	/** Records that a task hung or was far slower than on other backend servers. */
	addSlowness(jobId: string): void;
	/** Records that a request for a job went unanswered. */
	addUnansweredRequest(jobId: string): void;
	getGrade(runCount: number): ServerGrade;
};

const suspectDurationMs = 1000;
const minEjectionMs = 1500;
const maxEjectionMs = 6000;
/**
 * Number of distinct jobs with problems, without a success in between, that ejects a backend server. It exceeds 1 so
 * that a faulty job does not eject every backend server it runs on.
 */
const ejectionThresholdJobs = 2;

/**
 * Creates the health check of a backend server. Each further ejection lasts twice as long, up to a maximum.
 * @param timers - The clock.
 * @param onEjected - Called with the duration of each ejection.
 */
export function createServerHealth(timers: TimerService, onEjected: (pauseMs: number) => void): ServerHealth {
	const problemJobIds = new Set<string>();
	let suspectUntilMs = Number.NEGATIVE_INFINITY;
	let ejectedUntilMs = Number.NEGATIVE_INFINITY;
	let nextEjectionMs = minEjectionMs;
	let isOnProbation = false;

	function recordProblem(jobId: string): void {
		const nowMs = timers.getNowMs();
		problemJobIds.add(jobId);
		suspectUntilMs = nowMs + suspectDurationMs;
		if (problemJobIds.size >= ejectionThresholdJobs && nowMs >= ejectedUntilMs) {
			ejectedUntilMs = nowMs + nextEjectionMs;
			onEjected(nextEjectionMs);
			nextEjectionMs = Math.min(maxEjectionMs, nextEjectionMs * 2);
			isOnProbation = true;
		}
	}

	return {
		addSuccess() {
			problemJobIds.clear();
			if (timers.getNowMs() >= ejectedUntilMs) {
				isOnProbation = false;
				suspectUntilMs = Number.NEGATIVE_INFINITY;
				nextEjectionMs = minEjectionMs;
			}
		},
		addFailure: recordProblem,
		addSlowness: recordProblem,
		addUnansweredRequest: recordProblem,
		getGrade(runCount) {
			const nowMs = timers.getNowMs();
			if (nowMs < ejectedUntilMs || (isOnProbation && runCount > 0)) {
				return 'ejected';
			}

			return isOnProbation || nowMs < suspectUntilMs ? 'suspect' : 'good';
		},
	};
}
