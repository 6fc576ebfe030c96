import type {ServerGrade} from '../health/server-health.js';
import type {TaskNeeds} from '../sessions/run.js';

/** The attributes of a backend server that the choice depends on. */
export type Candidate = {
	freeCapacity: TaskNeeds;
	grade: ServerGrade;
	labels: readonly string[];
	/** Number of tasks of the same step that run there. */
	sameStepCount: number;
};

export type PlacementConstraints = {
	needs: TaskNeeds;
	requiredLabel?: string;
	dataRack?: string;
	mostPerServer?: number;
};

/**
 * Penalties added to the remaining CPU, so that a worse backend server is chosen only if no better one has enough
 * capacity.
 */
const suspectPenaltyMillicores = 1_000_000;
const remoteDataPenaltyMillicores = 100_000;

/**
 * Chooses the backend server with the least CPU remaining after the task is placed (best fit). A backend server holds only
 * two or three tasks, so best fit keeps large free blocks for large tasks.
 * @param candidates - The backend servers that accept tasks.
 * @param constraints - The requirements of the task.
 *
 * @example
 * ```ts
 * chooseBackendServer(candidates, {needs: {cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0}})?.start(task);
 * ```
 */
export function chooseBackendServer<T extends Candidate>(candidates: Iterable<T>, constraints: PlacementConstraints): T | undefined {
	let best: T | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const cost = getCost(candidate, constraints);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

function getCost(candidate: Candidate, constraints: PlacementConstraints): number {
	if (!isFeasible(candidate, constraints)) {
		return Number.POSITIVE_INFINITY;
	}

	const remainingMillicores = candidate.freeCapacity.cpuMillicores - constraints.needs.cpuMillicores;
	const isRemote = constraints.dataRack !== undefined && !candidate.labels.includes(constraints.dataRack);
	return remainingMillicores
		+ (candidate.grade === 'suspect' ? suspectPenaltyMillicores : 0)
		+ (isRemote ? remoteDataPenaltyMillicores : 0);
}

function isFeasible({freeCapacity, grade, labels, sameStepCount}: Candidate, {needs, requiredLabel, mostPerServer}: PlacementConstraints): boolean {
	return grade !== 'ejected'
		&& freeCapacity.cpuMillicores >= needs.cpuMillicores
		&& freeCapacity.memoryMb >= needs.memoryMb
		&& freeCapacity.gpuCount >= needs.gpuCount
		&& (requiredLabel === undefined || labels.includes(requiredLabel))
		&& (mostPerServer === undefined || sameStepCount < mostPerServer);
}
