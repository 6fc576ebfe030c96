/** What the ended runs of one backend server tell about its speed. */
export type SpeedEvidence = {
	/**
	 * Records the speed that a run shows.
	 * @param log - The logarithm of the run's expected time over its actual time.
	 * @param priorLog - What is assumed of the backend server without evidence.
	 */
	addRun(log: number, priorLog: number, nowMs: number): void;
	/** Gets the logarithm of the speed: the mean of the runs, drawn to the prior while they are few. */
	getLog(priorLog: number, nowMs: number): number;
	/** Gets the number of runs that the evidence is worth now. */
	getRunCount(nowMs: number): number;
	/** Gets the mean of the runs without the prior. */
	getMeanLog(): number;
};

/** Time after which a run counts half. */
const halfLifeMs = 30_000;
/** Beyond this number each further run replaces as much evidence as it adds. A fault of a few seconds ends fewer runs than that. */
const maxRunCount = 50;
/** Number of runs that the prior is worth. */
const priorRunCount = 8;
/** Bounds the effect of one run, so that a task that takes several times as long by itself counts little. */
const maxDeviationLog = 0.6;

/** Creates evidence without runs. */
export function createSpeedEvidence(): SpeedEvidence {
	let meanLog = 0;
	let runCount = 0;
	let updatedAtMs = 0;

	function getRunCount(nowMs: number): number {
		return runCount * (0.5 ** ((nowMs - updatedAtMs) / halfLifeMs));
	}

	function getLog(priorLog: number, nowMs: number): number {
		const count = getRunCount(nowMs);
		return ((count * meanLog) + (priorRunCount * priorLog)) / (count + priorRunCount);
	}

	return {
		addRun(log, priorLog, nowMs) {
			const currentLog = getLog(priorLog, nowMs);
			const boundedLog = currentLog + Math.max(-maxDeviationLog, Math.min(maxDeviationLog, log - currentLog));
			runCount = Math.min(maxRunCount, getRunCount(nowMs) + 1);
			meanLog += (boundedLog - meanLog) / runCount;
			updatedAtMs = nowMs;
		},
		getLog,
		getRunCount,
		getMeanLog: () => meanLog,
	};
}
