/**
 * Gets how many copies of a request make it unlikely that all of them are lost. This handles backend servers that leave a
 * share of the requests unanswered, from a few up to most of them.
 * @param lossShare - The share of the requests that go unanswered.
 * @param limits - The accepted probability that all copies are lost, and the bounds of the count.
 *
 * @example
 * ```ts
 * getCopyCount(0.2, {failureShare: 0.01, minCount: 1, maxCount: 8}); // 3
 * ```
 */
export function getCopyCount(lossShare: number, {failureShare, minCount, maxCount}: {failureShare: number; minCount: number; maxCount: number}): number {
	const neededCount = lossShare <= 0 ? 1 : Math.ceil(Math.log(failureShare) / Math.log(lossShare));
	return Math.min(maxCount, Math.max(minCount, neededCount));
}
