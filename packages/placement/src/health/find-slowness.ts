/** The inputs for assessing the progress of a run. */
export type RunProgress = {
	/** Time from the start to the last progress report. */
	runningMs: number;
	/** Progress, 0 to 100. */
	percent: number;
	/** The run time estimated from the declared and the observed run times. */
	expectedMs: number;
	/** Actual or projected run times of tasks of the same step on other backend servers. */
	siblingMs: readonly number[];
};

/**
 * - `stuck`: no progress within the time in which a healthy run makes some.
 * - `slow`: so slow that a new run on another backend server would end sooner.
 */
export type Slowness = 'stuck' | 'slow';

/** Runs shorter than this are not assessed. */
export const minAssessedRunMs = 100;
/**
 * Upper limit on the time without progress. Progress below 1% is reported as 0, so a long task may report 0 for a
 * while.
 */
const maxZeroProgressMs = 500;
const siblingSlownessFactor = 2.2;
const expectationSlownessFactor = 3.5;
/** Time that stopping a run and starting a new one takes. */
const restartCostMs = 60;

/**
 * Determines whether a run is so slow that it should be stopped and restarted on another backend server. Tasks of one
 * step take about the same time, so the sibling run times distinguish a slow backend server from a long job. Without
 * siblings, only a run that far exceeds its expected run time counts as slow. This handles backend servers on which
 * tasks hang or run several times slower.
 * @param progress - The progress of the run.
 *
 * @example
 * ```ts
 * findSlowness({runningMs: 300, percent: 5, expectedMs: 200, siblingMs: [210]}); // 'slow'
 * ```
 */
export function findSlowness({runningMs, percent, expectedMs, siblingMs}: RunProgress): Slowness | undefined {
	if (runningMs < minAssessedRunMs) {
		return undefined;
	}

	if (percent <= 0) {
		const zeroProgressLimitMs = Math.min(maxZeroProgressMs, Math.max(minAssessedRunMs, expectedMs / 4));
		return runningMs > zeroProgressLimitMs ? 'stuck' : undefined;
	}

	const projectedMs = runningMs * 100 / percent;
	const siblingMedianMs = getMedian(siblingMs);
	const isSlow = siblingMedianMs === undefined
		? projectedMs > expectedMs * expectationSlownessFactor
		: projectedMs > siblingMedianMs * siblingSlownessFactor;
	const remainingMs = projectedMs - runningMs;
	return isSlow && remainingMs > (siblingMedianMs ?? expectedMs) + restartCostMs ? 'slow' : undefined;
}

function getMedian(values: readonly number[]): number | undefined {
	return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)];
}
