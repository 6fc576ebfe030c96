export type RetryAfterOptions = {
	/** The time until the backlog of the queue is served at the present rate. */
	drainMs: number;
	/** The number of jobs of the queue that were refused recently. */
	refusedCount: number;
	/** A random number from 0 to 1. */
	fraction: number;
};

/** A caller that got no response submits its job again after 1.3 s, so that an earlier retry gains nothing. */
const minRetryAfterMs = 1000;
/** Each refused job takes this much of the interval over which the retries are spread. */
const spreadPerRefusalMs = 50;
const maxSpreadMs = 10_000;

/**
 * Gets the time after which a refused caller may retry: when the backlog is served, at a random point of an interval that is
 * proportional to the number of those refused. It handles bursts, whose callers would otherwise all return together.
 * @param options - The backlog, the number of refusals and the random number.
 *
 * @example
 * ```ts
 * getRetryAfterMs({drainMs: 300, refusedCount: 100, fraction: 0.5}); // 3500
 * ```
 */
export function getRetryAfterMs({drainMs, refusedCount, fraction}: RetryAfterOptions): number {
	const spreadMs = Math.min(maxSpreadMs, refusedCount * spreadPerRefusalMs);
	return Math.round(Math.max(minRetryAfterMs, drainMs) + (fraction * spreadMs));
}
