import type {RefusalReason} from '../messages/placement-messages.js';
import type {WaitingJob} from './waiting-job.js';

/** Multiple of the objective up to which an answer is still of some use. */
const lateLimitFactor = 3;
/** Share of the objective after which a job that cannot meet it gives way, so that its caller learns early. */
const decisionShare = 0.25;

export type QueueState = {
	nowMs: number;
	/** The time that the work ahead of the job takes at the capacity in use. */
	waitAheadMs: number;
};

/**
 * Finds the reason to refuse a waiting job now, if there is one. A job that has begun is never refused. Answers the
 * load that lasts longer than the objectives: what cannot be served in time goes away at once, and what might be is
 * decided on within a quarter of its objective.
 * @param job - The job.
 * @param state - The queue as the job sees it.
 */
export function findRefusal(job: WaitingJob, {nowMs, waitAheadMs}: QueueState): RefusalReason | undefined {
	if (job.hasStarted) {
		return undefined;
	}

	const ageMs = nowMs - job.arrivedAtMs;
	const earliestEndMs = ageMs + job.longestMs;
	if (earliestEndMs > job.objectiveMs * lateLimitFactor || nowMs + job.longestMs > job.callerLeavesAtMs) {
		return 'too-late';
	}

	const mayGiveWay = ageMs <= job.objectiveMs * decisionShare;
	return mayGiveWay && earliestEndMs + waitAheadMs > job.objectiveMs ? 'overload' : undefined;
}
