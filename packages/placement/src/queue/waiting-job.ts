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
	/** The work by which it is ordered: the ratio of its work to the mean of its queue, unless large jobs of the queue are served too rarely. */
	orderedWork: number;
	/** Whether a start request for a task has been sent. */
	hasStarted: boolean;
};
