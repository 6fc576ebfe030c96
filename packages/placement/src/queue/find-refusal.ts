import type {RefusalReason} from '../messages/placement-messages.js';
import type {WaitingJob} from './waiting-job.js';

/** Multiple of the objective after which a result is of no more use to the caller. */
const lateLimitFactor = 3;
/**
 * Share of the objective within which a job that would miss it is refused for overload, so that the caller is informed
 * early.
 */
const decisionWindowShare = 0.25;

/** Why a waiting job is refused. */
export type WaitingRefusalReason = Extract<RefusalReason, 'overload' | 'too-late'>;

export type QueueState = {
	nowMs: number;
	/** The estimated wait behind the work ahead of the job. */
	waitAheadMs: number;
};

/**
 * Finds the reason to refuse a waiting job now, if there is one. A started job is never refused. This handles overload
 * that lasts longer than the objectives: a job that cannot be served in time is refused immediately, for any other job the
 * decision is made within a quarter of its objective, and one that has waited in vain is refused as soon as it would be late.
 * While jobs wait ahead, new ones would overtake it again and again, until its result is of no use to the caller.
 * @param job - The job.
 * @param state - The time and the queue ahead of the job.
 */
export function findRefusal(job: WaitingJob, {nowMs, waitAheadMs}: QueueState): WaitingRefusalReason | undefined {
	if (job.hasStarted) {
		return undefined;
	}

	const ageMs = nowMs - job.arrivedAtMs;
	const earliestEndMs = ageMs + job.criticalPathMs;
	if (earliestEndMs > job.objectiveMs * lateLimitFactor || nowMs + job.criticalPathMs > job.callerDeadlineMs) {
		return 'too-late';
	}

	const isInDecisionWindow = ageMs <= job.objectiveMs * decisionWindowShare;
	const isLate = earliestEndMs > job.objectiveMs;
	const isQueueTooLong = waitAheadMs > 0 && earliestEndMs + waitAheadMs > job.objectiveMs;
	return isQueueTooLong && (isInDecisionWindow || isLate) ? 'overload' : undefined;
}
