/** The inputs to the decisions on a waiting job. Times are on the placer's clock. */
export type WaitingJob = {
	arrivedAtMs: number;
	/** The expected run time of its longest chain of dependent steps. */
	criticalPathMs: number;
	/** The latency objective, counted from the arrival. */
	objectiveMs: number;
	/** When the timeout of the caller expires. */
	callerDeadlineMs: number;
	/** Total CPU of its waiting tasks, in millicores. */
	waitingMillicores: number;
	/** Ratio of its work to the mean of its queue. */
	relativeWork: number;
	/** Whether a start request for a task has been sent. */
	hasStarted: boolean;
};
