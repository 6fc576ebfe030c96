/** Learns how long tasks run, against what callers declare. */
export type RunTimeBook = {
	/** Notes the run time of a task that ended well. */
	addRun(queueName: string, durationMs: number): void;
	/** Gets the run time to expect of a task. */
	getExpectedMs(queueName: string, declaredMs: number): number;
};

type QueueMean = {
	log: number;
	runCount: number;
};

const weightOfNewRun = 0.02;
const shortestRunMs = 1;
/** Share of the queue's mean in what is expected, once enough runs have ended. */
const largestMeanShare = 0.5;
const runsForLargestShare = 20;

/**
 * Creates the book. A declared run time and the mean of the queue are each off by about as much, so their geometric
 * mean is closer than either.
 */
export function createRunTimeBook(): RunTimeBook {
	const means = new Map<string, QueueMean>();
	return {
		addRun(queueName, durationMs) {
			const log = Math.log(Math.max(shortestRunMs, durationMs));
			const known = means.get(queueName) ?? {log, runCount: 0};
			const runCount = known.runCount + 1;
			const weight = Math.max(weightOfNewRun, 1 / runCount);
			means.set(queueName, {log: known.log + (weight * (log - known.log)), runCount});
		},
		getExpectedMs(queueName, declaredMs) {
			const mean = means.get(queueName);
			if (mean === undefined) {
				return Math.max(shortestRunMs, declaredMs);
			}

			if (declaredMs <= 0) {
				return Math.exp(mean.log);
			}

			const meanShare = largestMeanShare * Math.min(1, mean.runCount / runsForLargestShare);
			return Math.exp((meanShare * mean.log) + ((1 - meanShare) * Math.log(declaredMs)));
		},
	};
}
