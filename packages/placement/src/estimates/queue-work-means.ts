/** Tracks the mean work of the jobs of each queue. */
export type QueueWorkMeans = {
	/** Records the declared work of a job, in core-milliseconds. */
	addJob(queueName: string, work: number): void;
	/** Gets the ratio of a job's work to the mean of its queue. */
	getRelativeWork(queueName: string, work: number): number;
};

const newJobWeight = 0.02;

/** Creates an empty set of means; each is an exponential moving average. */
export function createQueueWorkMeans(): QueueWorkMeans {
	const means = new Map<string, number>();
	return {
		addJob(queueName, work) {
			const previous = means.get(queueName) ?? work;
			means.set(queueName, previous + (newJobWeight * (work - previous)));
		},
		getRelativeWork(queueName, work) {
			const mean = means.get(queueName) ?? work;
			return mean > 0 ? work / mean : 1;
		},
	};
}
