import type {TaskNeeds} from '../sessions/run.js';
import {hasCapacity, type CapacityChange, type PlacementCandidate} from './placement-candidate.js';

/**
 * Finds the time from which a backend server is expected to have capacity for a task, behind the tasks that were promised
 * capacity there before. Undefined if the known changes do not free enough.
 * @param candidate - The free capacity and its expected changes.
 * @param needs - The needs of the task.
 * @param nowMs - The current time.
 *
 * @example
 * ```ts
 * findFreeTimeMs({freeCapacity: none, expectedChanges: [{atMs: 140, ...needs}]}, needs, 100); // 140
 * ```
 */
export function findFreeTimeMs({freeCapacity, expectedChanges}: Pick<PlacementCandidate, 'freeCapacity' | 'expectedChanges'>, needs: TaskNeeds, nowMs: number): number | undefined {
	const capacity = {...freeCapacity};
	let freeTimeMs = hasCapacity(capacity, needs) ? nowMs : undefined;
	for (const {atMs, cpuMillicores, memoryMb, gpuCount} of expectedChanges) {
		capacity.cpuMillicores += cpuMillicores;
		capacity.memoryMb += memoryMb;
		capacity.gpuCount += gpuCount;
		freeTimeMs = hasCapacity(capacity, needs) ? freeTimeMs ?? Math.max(nowMs, atMs) : undefined;
	}

	return freeTimeMs;
}

/**
 * Adds a change of the free capacity in order of time.
 * @param changes - The changes.
 * @param change - The change to add.
 */
export function addCapacityChange(changes: CapacityChange[], change: CapacityChange): void {
	let position = changes.length;
	while (position > 0 && changes[position - 1]!.atMs > change.atMs) {
		position--;
	}

	changes.splice(position, 0, change);
}
