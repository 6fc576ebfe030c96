import {getCopyCount} from './get-copy-count.js';

/** The accepted probability that the end of a run is noticed only after the wait of a renewal. */
const failureShare = 0.05;
const maxRenewalCount = 4;

/**
 * Gets how many renewals of one backend server wait for the end of a run at the same time. This handles backend servers that leave
 * requests unanswered: a lost renewal is noticed only after its wait, when a short task is already late.
 * @param lossShare - The share of the requests that go unanswered.
 *
 * @example
 * ```ts
 * getRenewalCount(0.2); // 2
 * ```
 */
export function getRenewalCount(lossShare: number): number {
	return getCopyCount(lossShare, {failureShare, minCount: 1, maxCount: maxRenewalCount});
}
