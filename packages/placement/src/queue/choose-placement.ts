import {findFreeTimeMs} from './find-free-time.js';
import {
	findExclusion, findLastingExclusion, hasCapacity, type PlacementCandidate, type PlacementCandidates, type PlacementContext, type PlacementTask,
} from './placement-candidate.js';

/** Where a task goes. */
export type PlacementChoice<T extends PlacementCandidate>
	= {outcome: 'place'; candidate: T; isFar: boolean}
		/** The task waits for capacity that is expected to become free on a candidate near its data. */
		| {outcome: 'wait'; candidate: T; untilMs: number}
		| {outcome: 'none'};

/** The best candidate of one distance that can take the task now. */
type FreePlace<T> = {
	candidate: T;
	/** The expected run time there. */
	runMs: number;
};

/** The near candidate that is expected to complete the task first after a wait. */
type LaterPlace<T> = FreePlace<T> & {
	untilMs: number;
};

/**
 * Run times that differ by less than this share of the nominal one count as equal, so that small errors of learned speeds
 * do not disturb the best fit.
 */
const equalRunShare = 0.1;
/** Added to the cost of a suspect backend server, so that it is chosen only if no good one can take the task. */
const suspectPenalty = 1000;

/**
 * Chooses where a task is expected to complete first: on a backend server that has capacity now, or after a wait near its
 * data. The run on a candidate takes the run time times the distance factor over the speed; among equal run times the
 * least CPU remains (best fit). A backend server holds only two or three tasks, so best fit keeps large free blocks for
 * large tasks.
 *
 * This handles racks that are wanted by more tasks than they hold. A far run occupies capacity for longer, which delays
 * other work if there is contention: its additional time counts once more, times the contention. The total wait of a task
 * is bounded by what it can save, and by the objective of its job.
 * @param candidates - The backend servers.
 * @param task - The task.
 * @param context - The time, the distance factor and the contention.
 *
 * @example
 * ```ts
 * choosePlacement({near: [busy], far: [free]}, task, {nowMs: 100, remoteRunFactor: 3, contention: 0});
 * // {outcome: 'wait', candidate: busy, untilMs: 120}
 * ```
 */
export function choosePlacement<T extends PlacementCandidate>(candidates: PlacementCandidates<T>, task: PlacementTask, context: PlacementContext): PlacementChoice<T> {
	const {remoteRunFactor = 1} = context;
	const near = findFreePlace(candidates.near, task, 1);
	const far = findFreePlace(candidates.far, task, remoteRunFactor);
	if (near !== undefined && (far === undefined || isNearBetter(near, far))) {
		return {outcome: 'place', candidate: near.candidate, isFar: false};
	}

	// Among free places the far one is better only if it is much faster or the near one is suspect.
	const later = remoteRunFactor > 1 ? findLaterPlace(candidates.near, task, context) : undefined;
	if (later !== undefined && isWaitBetter(later, far, task, context)) {
		return {outcome: 'wait', candidate: later.candidate, untilMs: later.untilMs};
	}

	return far === undefined || isFarWaste(far, later, task, context) ? {outcome: 'none'} : {outcome: 'place', candidate: far.candidate, isFar: true};
}

/**
 * Gets the cost by which candidates of one distance are ordered: classes of expected run time, in units of the nominal
 * run time, with the health.
 * @param candidate - The backend server.
 * @param distanceFactor - The factor on the run time.
 */
export function getRunCost({speed, grade}: PlacementCandidate, distanceFactor: number): number {
	return Math.round(distanceFactor / speed / equalRunShare) + (grade === 'suspect' ? suspectPenalty : 0);
}

function findFreePlace<T extends PlacementCandidate>(candidates: readonly T[], task: PlacementTask, distanceFactor: number): FreePlace<T> | undefined {
	let best: T | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		if (!hasCapacity(candidate.freeCapacity, task.needs) || findExclusion(candidate, task) !== undefined) {
			continue;
		}

		const cost = getRunCost(candidate, distanceFactor);
		const isBetter = cost < bestCost || (cost === bestCost && candidate.freeCapacity.cpuMillicores < best!.freeCapacity.cpuMillicores);
		if (isBetter) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best === undefined ? undefined : {candidate: best, runMs: task.runMs * distanceFactor / best.speed};
}

function isNearBetter(near: FreePlace<PlacementCandidate>, far: FreePlace<PlacementCandidate>): boolean {
	const isNearSuspect = near.candidate.grade === 'suspect';
	const isFarSuspect = far.candidate.grade === 'suspect';
	return isNearSuspect === isFarSuspect ? near.runMs <= far.runMs * (1 + equalRunShare) : isFarSuspect;
}

function findLaterPlace<T extends PlacementCandidate>(candidates: readonly T[], task: PlacementTask, {nowMs}: PlacementContext): LaterPlace<T> | undefined {
	let best: LaterPlace<T> | undefined;
	for (const candidate of candidates) {
		const untilMs = candidate.grade === 'good' && findLastingExclusion(candidate, task) === undefined ? findFreeTimeMs(candidate, task.needs, nowMs) : undefined;
		const runMs = task.runMs / candidate.speed;
		if (untilMs !== undefined && (best === undefined || untilMs + runMs < best.untilMs + best.runMs)) {
			best = {candidate, runMs, untilMs};
		}
	}

	return best;
}

/** Whether a task waits. One that would be late near its data does not, so that it is not held beyond its use. */
function isWaitBetter(later: LaterPlace<PlacementCandidate>, far: FreePlace<PlacementCandidate> | undefined, task: PlacementTask, {nowMs, remoteRunFactor = 1, contention}: PlacementContext): boolean {
	const nearMs = later.untilMs - nowMs + later.runMs;
	if (nowMs + nearMs > task.latestEndMs) {
		return false;
	}

	if (far === undefined || nowMs + far.runMs > task.latestEndMs) {
		return true;
	}

	// A task waits for the benefit of others only while it can still run far in time if its expectation proves wrong.
	const canRunFarLater = later.untilMs + far.runMs <= task.latestEndMs;
	const delayOfOthersMs = canRunFarLater ? contention * (remoteRunFactor - 1) * task.runMs : 0;
	return task.waitedMs + nearMs < far.runMs + delayOfOthersMs;
}

/**
 * Whether a far run would only take capacity from work that waits: it would be late, and end later than a run near the
 * data after the wait.
 */
function isFarWaste(far: FreePlace<PlacementCandidate>, later: LaterPlace<PlacementCandidate> | undefined, task: PlacementTask, {nowMs, contention}: PlacementContext): boolean {
	return contention > 0 && later !== undefined && nowMs + far.runMs > task.latestEndMs && later.untilMs + later.runMs < nowMs + far.runMs;
}
