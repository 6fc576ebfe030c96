/** What is known of a run when its progress is judged. */
export type RunProgress = {
	/** Time from its start to the last report of its progress. */
	runningMs: number;
	/** 0 to 100. */
	percent: number;
	/** The run time that the declared and learned run times promise. */
	expectedMs: number;
	/** Run times, ended or projected, of tasks of the same step on other backend servers. */
	siblingMs: readonly number[];
};

/**
 * - `stuck`: no progress at all in a time in which others advance.
 * - `slow`: so slow that a new run elsewhere would end first.
 */
export type Slowness = 'stuck' | 'slow';

/** A run younger than this is not judged. */
export const shortestJudgedMs = 100;
/** Progress below one percent shows as 0; a task longer than this may rightly show 0 for a while. */
const longestStuckMs = 500;
const slowAgainstSiblings = 2.2;
const slowAgainstExpectation = 3.5;
/** What the stop and the start of a new run cost. */
const restartCostMs = 60;

/**
 * Finds out whether a run is so slow that it should be stopped and begun elsewhere. Tasks of one step take about the
 * same time, so siblings tell a slow backend server from a long job; without any, only a run far beyond what was to
 * be expected counts. Answers backend servers on which tasks stand still or work several times slower.
 * @param progress - The run.
 *
 * @example
 * ```ts
 * findSlowness({runningMs: 300, percent: 5, expectedMs: 200, siblingMs: [210]}); // 'slow'
 * ```
 */
export function findSlowness({runningMs, percent, expectedMs, siblingMs}: RunProgress): Slowness | undefined {
	if (runningMs < shortestJudgedMs) {
		return undefined;
	}

	if (percent <= 0) {
		const mayTakeMs = Math.min(longestStuckMs, Math.max(shortestJudgedMs, expectedMs / 4));
		return runningMs > mayTakeMs ? 'stuck' : undefined;
	}

	const projectedMs = runningMs * 100 / percent;
	const elsewhereMs = getMedian(siblingMs);
	const isSlow = elsewhereMs === undefined
		? projectedMs > expectedMs * slowAgainstExpectation
		: projectedMs > elsewhereMs * slowAgainstSiblings;
	const remainingMs = projectedMs - runningMs;
	return isSlow && remainingMs > (elsewhereMs ?? expectedMs) + restartCostMs ? 'slow' : undefined;
}

function getMedian(values: readonly number[]): number | undefined {
	return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)];
}
