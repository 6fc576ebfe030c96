/** What a task takes up on a backend server while it runs. */
export type TaskNeeds = {
	cpuMillicores: number;
	memoryMb: number;
	gpuCount: number;
};

/** The start of a task that is to be ordered. */
export type RunStart = {
	taskName: string;
	runNumber: number;
	needs: TaskNeeds;
};

/** One start of a task on a backend server. */
export type Run = {
	readonly taskName: string;
	readonly runNumber: number;
	/** Undefined for a run that an earlier placer started and whose job is not known here. */
	needs: TaskNeeds | undefined;
	state: 'starting' | 'running' | 'stopping';
	readonly startedAtMs: number;
	/** The last progress that the backend server reported, 0 to 100. */
	percent: number;
	/** The times of the start and of that report on the backend server's clock, which our own delays do not move. */
	serverStartMs: number | undefined;
	serverReportMs: number | undefined;
};

/**
 * Gets how long a run had been running at the last report of its progress; 0 if there was none.
 * @param run - The run.
 */
export function getReportedRunningMs({serverStartMs, serverReportMs}: Run): number {
	return serverStartMs === undefined || serverReportMs === undefined ? 0 : serverReportMs - serverStartMs;
}

/** How a run came to its end, as the placer sees it. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'not-started' | 'unanswered' | 'no-room' | 'unhealthy' | 'old-run' | 'lost';
