/**
 * Weight of the siblings in the expected time, however many there are. Siblings tell only how backend servers compare with
 * each other: if those of one rack ran only each other's siblings, nothing else would show how fast the rack is.
 */
const maxSiblingWeight = 0.5;

/**
 * Gets the expected time of a run at nominal speed near its data: the geometric mean of the estimate from declared and
 * earlier run times, and the median of the run's siblings, which differ from it by far less than the estimate does.
 * @param estimateMs - The estimated run time at nominal speed.
 * @param siblingMs - The times that tasks of the same step on other backend servers would have taken at nominal speed, in ascending
 * order.
 *
 * @example
 * ```ts
 * getExpectedRunMs(100, [400]); // 159
 * ```
 */
export function getExpectedRunMs(estimateMs: number, siblingMs: readonly number[]): number {
	if (siblingMs.length === 0) {
		return estimateMs;
	}

	const siblingWeight = maxSiblingWeight * Math.min(1, siblingMs.length / (siblingMs.length + 0.5));
	const medianMs = siblingMs[Math.floor(siblingMs.length / 2)]!;
	return (estimateMs ** (1 - siblingWeight)) * (medianMs ** siblingWeight);
}
