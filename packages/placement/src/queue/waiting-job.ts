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
	/** The priority of its queue; 0 is the highest. */
	priority: number;
	/** Its standing against the guaranteed shares; undefined while there is capacity for all. */
	standing: Standing | undefined;
};

/** How a job stands against the guaranteed shares while capacity is short. */
export type Standing = {
	shareGroup: ShareGroup;
	/** Whether it would miss its objective if it waited behind all other jobs. */
	isUrgent: boolean;
	/** Whether jobs of its size have recently been served less often than the rule on large jobs demands. */
	isUnderserved: boolean;
};

/**
 * The groups of jobs while capacity is short, the first one served first.
 *
 * - `within-share`: its queue and its caller are within their usual shares.
 * - `beyond-queue-share`: its queue has used up its share.
 * - `beyond-caller-share`: its caller sends more than usual.
 */
export type ShareGroup = (typeof shareGroups)[number];

export const shareGroups = ['within-share', 'beyond-queue-share', 'beyond-caller-share'] as const;
