import type {TimerService} from '@camphortack/core';
import type {PlacedJob} from '../jobs/placed-job.js';
import type {EarlierJobs} from '../ports/earlier-jobs.js';
import {minClockRate} from '../sessions/lease-clock.js';
import {leaseMs} from '../sessions/session-timings.js';
import type {ServerPool} from './server-pool.js';

/** Decides which jobs that reach a new placer as new must wait, because an earlier placer may be running them. */
export type NewJobHold = {
	/** Whether runs of a job may be in progress on a backend server that this placer has not claimed in its term. */
	isNeeded(job: PlacedJob): boolean;
};

/** How long an earlier placer may go on after its last heartbeat, or after the start of the next term if it was not silent. */
const placerNoticeMs = 100;
/** How long runs of an earlier placer may go on after it was last heard: until the last lease has expired. */
export const earlierRunsMs = placerNoticeMs + (leaseMs / minClockRate);

/**
 * Creates the hold of a term that begins now.
 * @param timers - The clock.
 * @param pool - The backend servers.
 * @param earlierJobs - What is known of the jobs of earlier placers. Without it, every job may be one of them.
 *
 * @example
 * ```ts
 * const newJobHold = createNewJobHold(timers, pool, undefined);
 * newJobHold.isNeeded(job); // true, until all backend servers of its service are claimed or the earlier leases are over
 * ```
 */
export function createNewJobHold(timers: TimerService, pool: Pick<ServerPool, 'hasUnclaimed'>, earlierJobs: EarlierJobs | undefined): NewJobHold {
	const endsAtMs = timers.getNowMs() + earlierRunsMs - (earlierJobs?.getSilenceMs() ?? 0);

	return {
		isNeeded: ({request: {jobId, service}}) => timers.getNowMs() < endsAtMs && pool.hasUnclaimed(service) && (earlierJobs?.mayHaveStarted(jobId) ?? true),
	};
}
