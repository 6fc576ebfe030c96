/** How far a placer is behind, and the starts that it has under way. */
export type StartLimitState = {
	/** How many starts may be in flight; infinite while the placer keeps up. */
	startLimit: number;
	/** Starts that were sent and have not been answered. */
	startsInFlight: number;
	/** By how much the placer is itself behind. */
	lagMs: number;
	/** The time since the limit was last reduced. */
	sinceReducedMs: number;
	/** The time since the placer was last behind, or had as many starts in flight as the limit allows. */
	sinceNeededMs: number;
};

/**
 * Half of the shortest timeout of a request. With more lag, usual variations make requests go unanswered, and each of
 * these costs a claim and often a new connection.
 */
export const maxLagMs = 20;
/** As many as the claims with which a new placer begins. Fewer would leave processor time unused between two responses. */
export const minStartLimit = 8;
/** The share by which the limit is reduced at most, since the measured lag also contains that of requests sent before. */
const minReductionFactor = 0.5;
/** How long a limit that is not needed remains: the duration of a lease, by which all requests sent during the lag are over. */
export const recoveryMs = 1000;

/**
 * Gets how many starts may be in flight from now on. This handles the load of a whole availability zone on a VM that is short of
 * processor time. There, starts that are sent all at once go unanswered, and the claims that then determine their effect need the
 * processor time of further starts, so that after a takeover nothing is served for seconds. As in TCP, the limit is reduced in
 * proportion to the lag, at most once per response time, and grows by one for each round of responses without lag. A placer
 * that keeps up has no limit, and one that has recovered has none after a second.
 * @param state - The lag and the starts under way.
 *
 * @example
 * ```ts
 * getNextStartLimit({startLimit: Infinity, startsInFlight: 40, lagMs: 30, sinceReducedMs: Infinity, sinceNeededMs: Infinity}); // 26.7
 * ```
 */
export function getNextStartLimit({startLimit, startsInFlight, lagMs, sinceReducedMs, sinceNeededMs}: StartLimitState): number {
	if (lagMs > maxLagMs) {
		const reduced = Math.min(startLimit, startsInFlight) * Math.max(minReductionFactor, maxLagMs / lagMs);
		return sinceReducedMs < lagMs ? startLimit : Math.max(minStartLimit, reduced);
	}

	if (sinceNeededMs >= recoveryMs) {
		return Number.POSITIVE_INFINITY;
	}

	return isAtLimit({startLimit, startsInFlight}) ? startLimit + (1 / startLimit) : startLimit;
}

/**
 * Whether a placer has as many starts in flight as it may.
 * @param state - The limit and the starts in flight.
 */
export function isAtLimit({startLimit, startsInFlight}: Pick<StartLimitState, 'startLimit' | 'startsInFlight'>): boolean {
	return startsInFlight + 1 > startLimit;
}

/**
 * Gets the expected time until a number of further starts have been answered except for those that may be sent immediately.
 * This handles the jobs that arrive while a limit is in force: starts are answered at the rate of the limit per response time,
 * so that a job with more tasks ahead than its objective leaves time for can be refused immediately.
 * @param state - The limit, the starts in flight, and the response time.
 * @param startCount - The number of starts, including those ahead of the job.
 *
 * @example
 * ```ts
 * getStartWaitMs({startLimit: 10, startsInFlight: 10, responseMs: 20}, 30); // 60
 * ```
 */
export function getStartWaitMs({startLimit, startsInFlight, responseMs}: Pick<StartLimitState, 'startLimit' | 'startsInFlight'> & {responseMs: number}, startCount: number): number {
	if (startLimit === Number.POSITIVE_INFINITY) {
		return 0;
	}

	const waitingCount = startCount - Math.max(0, startLimit - startsInFlight);
	return Math.max(0, waitingCount) * responseMs / startLimit;
}
