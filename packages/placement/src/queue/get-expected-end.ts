/** A run as far as it is known. Times are on the placer's clock. */
export type ObservedRun = {
	startedAtMs: number;
	/** The run time that was expected at the start, at the speed of the backend server and its distance to the data. */
	expectedMs: number;
	/** How long the run had been running at its last progress report. */
	reportedMs: number;
	/** The progress at that time, 0 to 100. */
	percent: number;
};

/** Minimum progress for projecting the run time; below it the expectation is closer. */
const minProjectablePercent = 10;
/** The least remaining time of a run, as a share of its age: one that is overdue ends at an unknown time. */
const minRemainingShare = 0.1;

/**
 * Gets the time at which a run is expected to end, projected from its progress if it has reported enough of it.
 * @param run - The run.
 * @param nowMs - The current time.
 *
 * @example
 * ```ts
 * getExpectedEndMs({startedAtMs: 0, expectedMs: 100, reportedMs: 40, percent: 20}, 50); // 200
 * ```
 */
export function getExpectedEndMs({startedAtMs, expectedMs, reportedMs, percent}: ObservedRun, nowMs: number): number {
	const totalMs = percent >= minProjectablePercent && reportedMs > 0 ? reportedMs * 100 / percent : expectedMs;
	return Math.max(startedAtMs + totalMs, nowMs + (minRemainingShare * (nowMs - startedAtMs)));
}
