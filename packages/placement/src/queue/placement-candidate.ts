import type {ServerGrade} from '../health/server-health.js';
import type {TaskNeeds} from '../sessions/run.js';

/** A change of the free capacity that is expected at a time: a run ends, or a task that was promised the capacity starts. */
export type CapacityChange = {
	atMs: number;
	cpuMillicores: number;
	memoryMb: number;
	gpuCount: number;
};

/** The attributes of a backend server that the choice depends on. */
export type PlacementCandidate = {
	id: string;
	freeCapacity: TaskNeeds;
	/** The expected changes of the free capacity, in order of time. Read only for candidates near the data. */
	expectedChanges: readonly CapacityChange[];
	/** The speed in relation to a nominal backend server. */
	speed: number;
	grade: ServerGrade;
	labels: readonly string[];
	/** Number of tasks of the same step that run there. */
	sameStepCount: number;
};

/** The backend servers that a task may run on, divided by their distance to its data. */
export type PlacementCandidates<T extends PlacementCandidate> = {
	near: readonly T[];
	far: readonly T[];
};

/** What the choice needs to know of a task. Times are on the placer's clock. */
export type PlacementTask = {
	needs: TaskNeeds;
	requiredLabel?: string | undefined;
	mostPerServer?: number | undefined;
	/** Backend servers that the task must not run on again. */
	avoidedServerIds: ReadonlySet<string>;
	/** The expected run time on a nominal backend server near the data. */
	runMs: number;
	/** The latest end with which the job can meet its objective. */
	latestEndMs: number;
	/** How long the task has waited for a near place. */
	waitedMs: number;
};

/** The circumstances of a choice. */
export type PlacementContext = {
	nowMs: number;
	/** The factor by which tasks run longer far from their data; undefined if it is not known, then no task waits. */
	remoteRunFactor: number | undefined;
	/** How much other work waits for capacity, from 0 (none) to 1 (a far run delays other work by all of its additional time). */
	contention: number;
};

/** Why a backend server cannot take a task now. */
export type Exclusion = 'ejected' | 'avoided' | 'label' | 'most-per-server' | 'capacity';

/**
 * Finds the reason why a candidate cannot take a task now.
 * @param candidate - The backend server.
 * @param task - The task.
 */
export function findExclusion(candidate: PlacementCandidate, task: PlacementTask): Exclusion | undefined {
	return findLastingExclusion(candidate, task) ?? (hasCapacity(candidate.freeCapacity, task.needs) ? undefined : 'capacity');
}

/**
 * Finds the reason why a candidate cannot take a task, even when capacity becomes free.
 * @param candidate - The backend server.
 * @param task - The task.
 */
export function findLastingExclusion({id, grade, labels, sameStepCount}: PlacementCandidate, {avoidedServerIds, requiredLabel, mostPerServer}: PlacementTask): Exclusion | undefined {
	if (grade === 'ejected') {
		return 'ejected';
	}

	if (avoidedServerIds.has(id)) {
		return 'avoided';
	}

	if (requiredLabel !== undefined && !labels.includes(requiredLabel)) {
		return 'label';
	}

	return mostPerServer !== undefined && sameStepCount >= mostPerServer ? 'most-per-server' : undefined;
}

/**
 * Whether capacity suffices for a task.
 * @param capacity - The capacity.
 * @param needs - The needs of the task.
 */
export function hasCapacity(capacity: TaskNeeds, needs: TaskNeeds): boolean {
	return capacity.cpuMillicores >= needs.cpuMillicores && capacity.memoryMb >= needs.memoryMb && capacity.gpuCount >= needs.gpuCount;
}
