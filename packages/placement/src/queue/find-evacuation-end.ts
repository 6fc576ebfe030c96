/** The state of a job for whose service every backend server is in an evacuated availability zone. */
export type EvacuatedJob = {
	/** Whether this or an earlier placer has sent a start request for a task. */
	hasStarted: boolean;
	/** Whether a task has no run yet, or needs another one. */
	hasWaitingTasks: boolean;
	hasRunningTasks: boolean;
	/** Whether a run of an earlier submission of the job may still be in progress. */
	hasEarlierRuns: boolean;
	/** Time since the evacuation came into force at this placer. */
	evacuatedMs: number;
};

/** How long a job that has started waits for the evacuation to be withdrawn before the rest of its tasks can start. */
const maxStartedJobMs = 1000;

/**
 * Finds how a job ends because its availability zone is evacuated; undefined if it goes on. This handles the moment at which
 * an evacuation comes into force under full load: jobs that have not started are refused at once, so that their entry daemons
 * forward them while there is time. Nothing of such a job may run here any more, or its tasks would have two runs. Running
 * tasks end by themselves; a job that needs more than those has to end as unknown.
 * @param job - The job.
 *
 * @example
 * ```ts
 * findEvacuationEnd({hasStarted: false, hasWaitingTasks: true, hasRunningTasks: false, hasEarlierRuns: false, evacuatedMs: 0}); // 'refused'
 * ```
 */
export function findEvacuationEnd({hasStarted, hasWaitingTasks, hasRunningTasks, hasEarlierRuns, evacuatedMs}: EvacuatedJob): 'refused' | 'unknown' | undefined {
	if (!hasWaitingTasks) {
		return undefined;
	}

	if (!hasStarted) {
		return hasEarlierRuns ? undefined : 'refused';
	}

	return !hasRunningTasks || evacuatedMs >= maxStartedJobMs ? 'unknown' : undefined;
}
