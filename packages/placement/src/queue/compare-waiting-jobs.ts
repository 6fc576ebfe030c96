import {shareGroups, type Standing, type WaitingJob} from './waiting-job.js';

/** Cap on the relative work, so that a large job does not wait behind every smaller one. */
const maxRelativeWork = 2;

/** Factor on the relative work of large jobs that are served too rarely. */
const underservedWorkFactor = 0.5;

/** Factor on the work of an urgent job for each step of priority. */
const priorityWorkFactor = 1.25;
const maxPriority = 4;

/**
 * Compares two waiting jobs; negative if the left one goes first. Started jobs go first, since they hold capacity
 * without benefit until they complete. Next come the jobs that can still meet their objective, then the late ones. Within
 * these groups the job with the least work relative to the mean of its queue goes first: under overload this completes
 * the most jobs and starves no queue, whereas earliest deadline first would run jobs that are late when they end.
 * While capacity is short, jobs also have a standing, which handles bursts of one queue or caller: shares and urgency go before work.
 * @param left - The first job.
 * @param right - The second job.
 * @param nowMs - The current time.
 */
export function compareWaitingJobs(left: WaitingJob, right: WaitingJob, nowMs: number): number {
	return Number(right.hasStarted) - Number(left.hasStarted)
		|| Number(isLate(left, nowMs)) - Number(isLate(right, nowMs))
		|| compareStandings(left, right)
		|| getOrderedWork(left) - getOrderedWork(right)
		|| left.arrivedAtMs - right.arrivedAtMs;
}

/** Compares by share, then by urgency. A job that can wait behind all others takes no capacity from those that cannot. */
function compareStandings(left: WaitingJob, right: WaitingJob): number {
	if (left.standing === undefined || right.standing === undefined) {
		return 0;
	}

	return getPosition(left.standing) - getPosition(right.standing)
		|| Number(right.standing.isUrgent) - Number(left.standing.isUrgent);
}

function getPosition({shareGroup}: Standing): number {
	return shareGroups.indexOf(shareGroup);
}

/**
 * Whether a job would miss its objective even if it started now.
 * @param job - The job.
 * @param nowMs - The current time.
 */
export function isLate(job: WaitingJob, nowMs: number): boolean {
	return nowMs + job.criticalPathMs > job.arrivedAtMs + job.objectiveMs;
}

/**
 * Gets the work by which jobs are ordered. Underserved large jobs count half of their work. Among
 * urgent jobs the priority of the queue is a factor on the work, not an order of its own, so that no queue is starved.
 */
function getOrderedWork({relativeWork, priority, standing}: WaitingJob): number {
	const work = standing?.isUnderserved ? relativeWork * underservedWorkFactor : Math.min(maxRelativeWork, relativeWork);
	return standing?.isUrgent ? work * (priorityWorkFactor ** Math.min(priority, maxPriority)) : work;
}
