import type {WaitingJob} from './waiting-job.js';

/** Jobs larger than this, against their queue's mean, all count as this large: none waits behind every smaller one. */
const largestCountedWork = 2;

/**
 * Compares two waiting jobs: negative if the left one goes first. Jobs that have begun come before others, since they
 * hold room that serves nobody until they end. Jobs that can still meet their objective come before late ones. Among
 * these the least work against the mean of the own queue goes first: past capacity this serves the most jobs and keeps
 * every queue alive, where the earliest deadline first would serve jobs that are late by the time they end.
 * @param left - A job.
 * @param right - Another one.
 * @param nowMs - The time.
 */
export function compareWaitingJobs(left: WaitingJob, right: WaitingJob, nowMs: number): number {
	return Number(right.hasStarted) - Number(left.hasStarted)
		|| Number(isLate(left, nowMs)) - Number(isLate(right, nowMs))
		|| getCountedWork(left) - getCountedWork(right)
		|| left.arrivedAtMs - right.arrivedAtMs;
}

/**
 * Whether a job would miss its objective even if it started now.
 * @param job - The job.
 * @param nowMs - The time.
 */
export function isLate(job: WaitingJob, nowMs: number): boolean {
	return nowMs + job.longestMs > job.arrivedAtMs + job.objectiveMs;
}

function getCountedWork({relativeWork}: WaitingJob): number {
	return Math.min(largestCountedWork, relativeWork);
}
