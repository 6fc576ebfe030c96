import type {Run} from '../sessions/run.js';

/** A run on a backend server that has crashed. */
export type CrashedRun = {
	taskName: string;
	runNumber: number;
	jobId: string;
	queueName: string;
	/** The time since its start; undefined if this placer did not start it. */
	ageMs: number | undefined;
	/** Without a response to its start request, a run is `starting`. */
	state: Run['state'];
};

/** A crash that a task causes follows its start within this time, including what the placer needs to notice it. */
export const maxSuspectAgeMs = 40;

/**
 * Whether a run had only just started, so that its task may have caused the crash.
 * @param run - The run.
 */
export function isNewRun({ageMs}: CrashedRun): boolean {
	return ageMs !== undefined && ageMs <= maxSuspectAgeMs;
}

/**
 * Finds the run whose task probably crashed a backend server: one that had only just started. Of several, the one whose queue
 * has more suspect runs before, else the newest.
 * @param runs - The runs that were on the backend server.
 * @param getSuspectCount - Gets how many recent suspect runs a queue has.
 *
 * @example
 * ```ts
 * findSuspectRun([{
 *     taskName: 'a.0.0.0', runNumber: 1, jobId: 'a', queueName: 'estimates', ageMs: 12, state: 'running',
 * }], () => 0)?.taskName; // 'a.0.0.0'
 * ```
 */
export function findSuspectRun(runs: readonly CrashedRun[], getSuspectCount: (queueName: string) => number): CrashedRun | undefined {
	const [first] = runs
		.filter(run => isNewRun(run))
		.toSorted((left, right) => getSuspectCount(right.queueName) - getSuspectCount(left.queueName) || left.ageMs! - right.ageMs!);
	return first;
}
