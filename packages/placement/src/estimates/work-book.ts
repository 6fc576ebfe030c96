/** Learns how much work the jobs of each queue bring. */
export type WorkBook = {
	/** Notes the declared work of a job, in core-milliseconds. */
	addJob(queueName: string, work: number): void;
	/** Gets the work of a job against the mean of its queue; 1 is the mean. */
	getRelativeWork(queueName: string, work: number): number;
};

const weightOfNewJob = 0.02;

/** Creates the book. */
export function createWorkBook(): WorkBook {
	const means = new Map<string, number>();
	return {
		addJob(queueName, work) {
			const known = means.get(queueName) ?? work;
			means.set(queueName, known + (weightOfNewJob * (work - known)));
		},
		getRelativeWork(queueName, work) {
			const mean = means.get(queueName) ?? work;
			return mean > 0 ? work / mean : 1;
		},
	};
}
