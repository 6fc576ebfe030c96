import type {RefusalReason} from '../messages/job-outcome.js';
import type {WaitingJob} from './waiting-job.js';

/** Multiple of the objective after which a result is of no more use to the caller. */
const lateLimitFactor = 3;
/**
 * Share of the objective within which a job that would miss it is refused for overload, so that the caller is informed
 * early.
 */
const decisionWindowShare = 0.25;

export type QueueState = {
	nowMs: number;
	/** The estimated wait behind the work ahead of the job. */
	waitAheadMs: number;
	/** The estimated wait until the placer, if it is behind, has started the work ahead of the job and the job. */
	startWaitMs: number;
};

/**
 * Finds the reason to refuse a waiting job now, if there is one. A started job is never refused. This handles overload
 * that lasts longer than the objectives: a job that cannot be served in time is refused immediately, for any other job the
 * decision is made within a quarter of its objective, and one that has waited in vain is refused as soon as it would be late.
 * While jobs wait ahead, new ones would overtake it again and again, until its result is of no use to the caller. A job that a
 * placer which is itself behind cannot start in time is refused at once, at any age: the placer can start no more by waiting.
 * @param job - The job.
 * @param state - The time and the queue ahead of the job.
 */
export function findRefusal(job: WaitingJob, {nowMs, waitAheadMs, startWaitMs}: QueueState): RefusalReason | undefined {
	if (job.hasStarted) {
		return undefined;
	}

	const ageMs = nowMs - job.arrivedAtMs;
	const earliestEndMs = ageMs + job.criticalPathMs;
	if (earliestEndMs > job.objectiveMs * lateLimitFactor || nowMs + job.criticalPathMs > job.callerDeadlineMs) {
		return 'too-late';
	}

	if (startWaitMs > 0 && earliestEndMs + startWaitMs > job.objectiveMs) {
		return 'overload';
	}

	const isInDecisionWindow = ageMs <= job.objectiveMs * decisionWindowShare;
	const isLate = earliestEndMs > job.objectiveMs;
	const isQueueTooLong = waitAheadMs > 0 && earliestEndMs + waitAheadMs > job.objectiveMs;
	return isQueueTooLong && (isInDecisionWindow || isLate) ? 'overload' : undefined;
}
