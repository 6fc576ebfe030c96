import type {ServerGrade} from '../health/server-health.js';
import type {TaskNeeds} from '../sessions/run.js';

/** What the choice looks at. */
export type Candidate = {
	freeRoom: TaskNeeds;
	grade: ServerGrade;
	labels: readonly string[];
	/** Tasks of the same step that run there. */
	sameStepCount: number;
};

export type PlacementNeeds = {
	needs: TaskNeeds;
	requiredLabel?: string;
	dataRack?: string;
	mostPerServer?: number;
};

/** Added to the cores left over, so that a worse choice is taken only where no better one has room. */
const suspectPenaltyMillicores = 1_000_000;
const farFromDataPenaltyMillicores = 100_000;

/**
 * Chooses the backend server on which a task leaves the fewest cores over. With two or three places on each, a large
 * hole that stays whole serves a large task later.
 * @param candidates - The backend servers that may take tasks.
 * @param wanted - What the task needs.
 *
 * @example
 * ```ts
 * chooseBackendServer(candidates, {needs: {cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0}})?.start(task);
 * ```
 */
export function chooseBackendServer<T extends Candidate>(candidates: Iterable<T>, wanted: PlacementNeeds): T | undefined {
	let best: T | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const cost = getCost(candidate, wanted);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

function getCost(candidate: Candidate, wanted: PlacementNeeds): number {
	if (!isPossible(candidate, wanted)) {
		return Number.POSITIVE_INFINITY;
	}

	const leftOverMillicores = candidate.freeRoom.cpuMillicores - wanted.needs.cpuMillicores;
	const isFar = wanted.dataRack !== undefined && !candidate.labels.includes(wanted.dataRack);
	return leftOverMillicores
		+ (candidate.grade === 'suspect' ? suspectPenaltyMillicores : 0)
		+ (isFar ? farFromDataPenaltyMillicores : 0);
}

function isPossible({freeRoom, grade, labels, sameStepCount}: Candidate, {needs, requiredLabel, mostPerServer}: PlacementNeeds): boolean {
	return grade !== 'ejected'
		&& freeRoom.cpuMillicores >= needs.cpuMillicores
		&& freeRoom.memoryMb >= needs.memoryMb
		&& freeRoom.gpuCount >= needs.gpuCount
		&& (requiredLabel === undefined || labels.includes(requiredLabel))
		&& (mostPerServer === undefined || sameStepCount < mostPerServer);
}
