/** The work of refused jobs whose callers have not returned yet, as far as it can be known. Times are on the placer's clock. */
export type ReturnBacklog = {
	/** The work, in core-milliseconds. */
	work: number;
	atMs: number;
};

/** The share of the cores that callers on return can count on beside the usual load. */
const returningShare = 0.1;
/** A caller that got no response submits its job again after 1.3 s, so an earlier return would gain nothing. */
const minRetryAfterMs = 1000;
const minSpreadMs = 2000;
/** Keeps Retry-After at 10 s at most unless the wait itself is longer. */
const maxSpreadMs = 9000;

/**
 * Gets the backlog at a later time. It decreases at the rate at which returning jobs can be served.
 * @param backlog - The backlog.
 * @param cores - The cores that serve the jobs.
 * @param nowMs - The later time.
 */
export function getReturnBacklog({work, atMs}: ReturnBacklog, cores: number, nowMs: number): ReturnBacklog {
	return {work: Math.max(0, work - ((nowMs - atMs) * cores * returningShare)), atMs: nowMs};
}

/**
 * Adds the work of a refused job to a backlog. More than the longest Retry-After covers is not kept, since callers that are
 * refused again would be counted each time.
 * @param backlog - The backlog.
 * @param work - The work of the job, in core-milliseconds.
 * @param cores - The cores that serve the jobs.
 */
export function addReturnWork(backlog: ReturnBacklog, work: number, cores: number): ReturnBacklog {
	return {...backlog, work: Math.min(maxSpreadMs * cores * returningShare, backlog.work + work)};
}

/**
 * Gets the time after which a refused caller may return. This handles bursts, whose refused callers would otherwise return
 * together while the burst lasts or just after it, and be refused again: the returns are spread over the time that
 * the backlog of refused work needs to decrease, which is longer the more work was refused.
 * @param state - The work of refused jobs including this one, the cores, the wait ahead of this job, and a random number from 0 to 1.
 *
 * @example
 * ```ts
 * getRetryAfterMs({returnWork: 400_000, cores: 1000, waitMs: 300, fraction: 0.5}); // 3000
 * ```
 */
export function getRetryAfterMs({returnWork, cores, waitMs, fraction}: {returnWork: number; cores: number; waitMs: number; fraction: number}): number {
	const backlogMs = cores > 0 ? returnWork / (cores * returningShare) : 0;
	const spreadMs = Math.min(maxSpreadMs, Math.max(minSpreadMs, backlogMs));
	return Math.round(Math.max(minRetryAfterMs, waitMs) + (fraction * spreadMs));
}
