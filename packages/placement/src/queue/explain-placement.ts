import {choosePlacement, getRunCost, type PlacementChoice} from './choose-placement.js';
import {findFreeTimeMs} from './find-free-time.js';
import {
	findExclusion, findLastingExclusion, type Exclusion, type PlacementCandidate, type PlacementCandidates, type PlacementContext, type PlacementTask,
} from './placement-candidate.js';

/** What the choice sees in one candidate. */
export type ExplainedCandidate = {
	serverId: string;
	isFar: boolean;
	/** Why it cannot take the task now. */
	exclusion: Exclusion | undefined;
	/** The expected wait for capacity; undefined if the task is not expected to get any there. */
	waitMs: number | undefined;
	/** The expected run time there. */
	runMs: number;
	/** The cost by which free candidates are ordered: the class of the run time, with the health. */
	runCost: number;
	freeMillicores: number;
};

/** A choice with the candidates that it was made from. */
export type PlacementExplanation<T extends PlacementCandidate> = {
	choice: PlacementChoice<T>;
	candidates: ExplainedCandidate[];
};

/**
 * Explains where a task would go now: the choice, and what each candidate costs or why it is excluded. It changes nothing.
 * @param candidates - The backend servers.
 * @param task - The task.
 * @param context - The time, the distance factor and the contention.
 *
 * @example
 * ```ts
 * explainPlacement({near: [busy], far: [free]}, task, context).candidates[0]?.exclusion; // 'capacity'
 * ```
 */
export function explainPlacement<T extends PlacementCandidate>(candidates: PlacementCandidates<T>, task: PlacementTask, context: PlacementContext): PlacementExplanation<T> {
	return {
		choice: choosePlacement(candidates, task, context),
		candidates: [
			...candidates.near.map(candidate => explainCandidate(candidate, task, context, false)),
			...candidates.far.map(candidate => explainCandidate(candidate, task, context, true)),
		],
	};
}

function explainCandidate(candidate: PlacementCandidate, task: PlacementTask, {nowMs, remoteRunFactor = 1}: PlacementContext, isFar: boolean): ExplainedCandidate {
	const distanceFactor = isFar ? remoteRunFactor : 1;
	const freeTimeMs = findLastingExclusion(candidate, task) === undefined ? findFreeTimeMs(candidate, task.needs, nowMs) : undefined;
	return {
		serverId: candidate.id,
		isFar,
		exclusion: findExclusion(candidate, task),
		waitMs: freeTimeMs === undefined ? undefined : freeTimeMs - nowMs,
		runMs: task.runMs * distanceFactor / candidate.speed,
		runCost: getRunCost(candidate, distanceFactor),
		freeMillicores: candidate.freeCapacity.cpuMillicores,
	};
}
