import type {WaitingJob} from './waiting-job.js';

/** Cap on the work, so that a large job does not wait behind every smaller one. */
const maxOrderedWork = 2;

/**
 * Compares two waiting jobs; negative if the left one goes first. Started jobs go first, since they hold capacity
 * without benefit until they complete. Next come the jobs that can still meet their objective, then the late ones. Within
 * these groups the job with the least work relative to the mean of its queue goes first: under overload this completes
 * the most jobs and starves no queue, whereas earliest deadline first would run jobs that are late when they end.
 * @param left - The first job.
 * @param right - The second job.
 * @param nowMs - The current time.
 */
export function compareWaitingJobs(left: WaitingJob, right: WaitingJob, nowMs: number): number {
	return Number(right.hasStarted) - Number(left.hasStarted)
		|| Number(isLate(left, nowMs)) - Number(isLate(right, nowMs))
		|| getCappedWork(left) - getCappedWork(right)
		|| left.arrivedAtMs - right.arrivedAtMs;
}

/**
 * Whether a job would miss its objective even if it started now.
 * @param job - The job.
 * @param nowMs - The current time.
 */
export function isLate(job: WaitingJob, nowMs: number): boolean {
	return nowMs + job.criticalPathMs > job.arrivedAtMs + job.objectiveMs;
}

function getCappedWork({orderedWork}: WaitingJob): number {
	return Math.min(maxOrderedWork, orderedWork);
}
