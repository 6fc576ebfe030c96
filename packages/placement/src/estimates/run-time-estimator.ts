/** Estimates task run times from the declared run time and the run times observed in the queue. */
export type RunTimeEstimator = {
	/** Records the run time of a task that succeeded. */
	addRun(queueName: string, durationMs: number): void;
	/** Gets the expected run time of a task. */
	getExpectedMs(queueName: string, declaredMs: number): number;
};

type QueueMean = {
	meanLog: number;
	runCount: number;
};

const newRunWeight = 0.02;
const minRunMs = 1;
/** Weight of the queue's mean in the estimate, reached after `runsForMaxMeanWeight` runs. */
const maxMeanWeight = 0.5;
const runsForMaxMeanWeight = 20;

/**
 * Creates the estimator. The declared run time and the mean of the queue have errors of about the same size, so their
 * geometric mean is closer to the actual run time than either of them.
 */
export function createRunTimeEstimator(): RunTimeEstimator {
	const means = new Map<string, QueueMean>();
	return {
		addRun(queueName, durationMs) {
			const log = Math.log(Math.max(minRunMs, durationMs));
			const previous = means.get(queueName) ?? {meanLog: log, runCount: 0};
			const runCount = previous.runCount + 1;
			const weight = Math.max(newRunWeight, 1 / runCount);
			means.set(queueName, {meanLog: previous.meanLog + (weight * (log - previous.meanLog)), runCount});
		},
		getExpectedMs(queueName, declaredMs) {
			const mean = means.get(queueName);
			if (mean === undefined) {
				return Math.max(minRunMs, declaredMs);
			}

			if (declaredMs <= 0) {
				return Math.exp(mean.meanLog);
			}

			const meanWeight = maxMeanWeight * Math.min(1, mean.runCount / runsForMaxMeanWeight);
			return Math.exp((meanWeight * mean.meanLog) + ((1 - meanWeight) * Math.log(declaredMs)));
		},
	};
}
