/** What the decisions on waiting jobs look at. Times are on the placer's clock. */
export type WaitingJob = {
	arrivedAtMs: number;
	/** The run time to expect of the longest chain of its tasks. */
	longestMs: number;
	/** The time from arrival within which an answer is of full use. */
	objectiveMs: number;
	/** When the caller stops waiting. */
	callerLeavesAtMs: number;
	/** What its waiting tasks take together, in thousandths of a core. */
	waitingMillicores: number;
	/** Work against the mean of its queue. */
	relativeWork: number;
	/** Whether a task has been offered to a backend server. */
	hasStarted: boolean;
};
