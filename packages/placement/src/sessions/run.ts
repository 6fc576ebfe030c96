/** The resources that a task uses on a backend server while it runs. */
export type TaskNeeds = {
	cpuMillicores: number;
	memoryMb: number;
	gpuCount: number;
};

/** The start of a task that is to be requested. */
export type RunStart = {
	taskName: string;
	runNumber: number;
	needs: TaskNeeds;
};

/** One run of a task on a backend server. */
export type Run = {
	readonly taskName: string;
	readonly runNumber: number;
	/** Undefined for a run that an earlier placer started and whose job is not known. */
	needs: TaskNeeds | undefined;
	state: 'starting' | 'running' | 'stopping';
	readonly startedAtMs: number;
	/** The last reported progress, 0 to 100. */
	percent: number;
	/**
	 * The times of the start and of the last progress report on the backend server's clock, which delays of the placer
	 * do not affect.
	 */
	serverStartMs: number | undefined;
	serverReportMs: number | undefined;
};

/**
 * Gets how long a run had been running at its last progress report; 0 if there was none.
 * @param run - The run.
 */
export function getReportedRunningMs({serverStartMs, serverReportMs}: Run): number {
	return serverStartMs === undefined || serverReportMs === undefined ? 0 : serverReportMs - serverStartMs;
}

/**
 * How a run ended, as the placer sees it. It is `lost` with a backend server that does not respond or whose incarnation has
 * ended, and `unlisted` if the same incarnation responds without listing it.
 */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'not-started' | 'unanswered' | 'no-room' | 'unhealthy' | 'old-run' | 'unlisted' | 'lost';
