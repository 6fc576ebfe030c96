/** Tells a placer which of the jobs that reach it as new an earlier placer may have started for another entry daemon. */
export type EarlierJobs = {
	/** Whether an earlier placer may have started a job. The submission that reaches the placer as new says nothing of that. */
	mayHaveStarted(jobId: string): boolean;
	/** Whether an entry daemon may still hand over a job that an earlier placer has started, since it waits for it or has not reported. */
	mayBeHandedOver(jobId: string): boolean;
	/** Gets for how long, at least, the earlier placer had been silent or gone when the term began. */
	getSilenceMs(): number;
};
