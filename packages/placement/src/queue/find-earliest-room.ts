import type {TaskNeeds} from '../sessions/run.js';
import {addCapacityChange, findFreeTimeMs} from './find-free-time.js';
import type {CapacityChange} from './placement-candidate.js';

/** A run by its progress. Times are on the placer's clock. */
export type ProgressingRun = {
	startedAtMs: number;
	/** How long the run had been running at its last progress report; 0 without one. */
	reportedMs: number;
	/** The progress at that time in whole percent, rounded down. */
	percent: number;
};

/** What a backend server has free, and when its runs may end. */
export type ServerRoom = {
	freeCapacity: TaskNeeds;
	runs: ReadonlyArray<ProgressingRun & {needs: TaskNeeds}>;
};

/**
 * Gets the earliest time at which a run can end, whatever was estimated for it. One whose progress is not known can end at any time.
 * @param run - The run.
 *
 * @example
 * ```ts
 * getEarliestEndMs({startedAtMs: 0, reportedMs: 400, percent: 9}); // 4000
 * ```
 */
export function getEarliestEndMs({startedAtMs, reportedMs, percent}: ProgressingRun): number {
	return startedAtMs + (reportedMs * 100 / Math.min(100, percent + 1));
}

/**
 * Finds the earliest time at which one of some backend servers can have room for a task, if nothing else is started there before.
 * Undefined if none is large enough.
 * @param servers - The backend servers.
 * @param needs - The needs of the task.
 * @param nowMs - The current time.
 *
 * @example
 * ```ts
 * findEarliestRoomMs([{freeCapacity: none, runs: [{startedAtMs: 0, reportedMs: 400, percent: 9, needs}]}], needs, 500); // 4000
 * ```
 */
export function findEarliestRoomMs(servers: readonly ServerRoom[], needs: TaskNeeds, nowMs: number): number | undefined {
	let earliestMs: number | undefined;
	for (const {freeCapacity, runs} of servers) {
		const expectedChanges: CapacityChange[] = [];
		for (const run of runs) {
			addCapacityChange(expectedChanges, {atMs: getEarliestEndMs(run), ...run.needs});
		}

		const freeMs = findFreeTimeMs({freeCapacity, expectedChanges}, needs, nowMs);
		earliestMs = freeMs === undefined ? earliestMs : Math.min(freeMs, earliestMs ?? Number.POSITIVE_INFINITY);
	}

	return earliestMs;
}
