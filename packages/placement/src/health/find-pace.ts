/** The inputs for assessing the progress of a run. */
export type RunProgress = {
	/** Time from the start to the last progress report. */
	runningMs: number;
	/** Progress, 0 to 100; rounded down. */
	percent: number;
	/** The run time at nominal speed near the data, estimated from the declared and the observed run times. */
	expectedMs: number;
	/** Actual or projected run times, at nominal speed near the data, of tasks of the same step on other backend servers. */
	siblingMs: readonly number[];
	/** The multiple of the nominal rate at which a healthy run progresses on the backend server. */
	rate: number;
};

/**
 * - `stuck`: no progress within the time in which a healthy run makes some.
 * - `slow`: far behind its expected pace.
 * - `normal`: near its expected pace, so that its backend server is healthy.
 */
export type Pace = 'stuck' | 'slow' | 'normal';

/** Runs shorter than this are not assessed. */
export const minAssessedRunMs = 100;
/**
 * Upper limit on the time without progress. Progress below 1% is reported as 0, so a long task may report 0 for a
 * while.
 */
const maxZeroProgressMs = 500;
const siblingSlownessFactor = 2.2;
const expectationSlownessFactor = 3.5;
const maxNormalFactor = 1.5;
/** Minimum progress for taking a run as normal. */
const minNormalPercent = 10;
/** Time that stopping a run and starting a new one takes. */
const restartCostMs = 60;
/** By how much a new run may exceed its expected time with the task still ending sooner. */
const restartMargin = 1.25;

/**
 * Finds the pace of a run relative to a healthy one on the same backend server; undefined if it is not clear. Tasks of one
 * step take about the same time, so the sibling run times distinguish a slow run from a long job. Without siblings, only a
 * run that far exceeds its expected run time counts as slow. This handles backend servers on which tasks hang or run several
 * times slower, among backend servers of unequal speed.
 * @param progress - The progress of the run.
 *
 * @example
 * ```ts
 * findPace({runningMs: 300, percent: 5, expectedMs: 200, siblingMs: [210], rate: 1}); // 'slow'
 * ```
 */
export function findPace(progress: RunProgress): Pace | undefined {
	const {runningMs, percent, expectedMs, rate} = progress;
	if (percent <= 0) {
		const zeroProgressLimitMs = Math.min(maxZeroProgressMs, Math.max(minAssessedRunMs, expectedMs / rate / 4));
		return runningMs > zeroProgressLimitMs ? 'stuck' : undefined;
	}

	const slownessFactor = progress.siblingMs.length === 0 ? expectationSlownessFactor : siblingSlownessFactor;
	const healthyMs = getNominalMs(progress) / rate;
	if (runningMs >= minAssessedRunMs && getShortestMs(progress) > healthyMs * slownessFactor) {
		return 'slow';
	}

	return percent >= minNormalPercent && runningMs * 100 / percent < healthyMs * maxNormalFactor ? 'normal' : undefined;
}

/**
 * Whether a new run elsewhere would end sooner than a slow one, including the time for stopping and starting.
 * @param progress - The progress of the slow run.
 * @param newRate - The multiple of the nominal rate at which a new run would progress.
 *
 * @example
 * ```ts
 * isRestartSooner({runningMs: 300, percent: 5, expectedMs: 200, siblingMs: [210], rate: 1}, 1); // true
 * isRestartSooner({runningMs: 900, percent: 90, expectedMs: 200, siblingMs: [], rate: 1}, 1); // false
 * ```
 */
export function isRestartSooner(progress: RunProgress, newRate: number): boolean {
	const remainingMs = getShortestMs(progress) - progress.runningMs;
	return remainingMs > (getNominalMs(progress) / newRate * restartMargin) + restartCostMs;
}

/** The shortest total time that the run can take at its present pace, given that its progress is rounded down. */
function getShortestMs({runningMs, percent}: RunProgress): number {
	return runningMs * 100 / Math.min(100, percent + 1);
}

function getNominalMs({siblingMs, expectedMs}: RunProgress): number {
	return siblingMs.toSorted((left, right) => left - right)[Math.floor(siblingMs.length / 2)] ?? expectedMs;
}
