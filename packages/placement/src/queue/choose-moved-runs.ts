import {choosePlacement} from './choose-placement.js';
import type {PlacementCandidate, PlacementTask} from './placement-candidate.js';

/** A run on a backend server that will be taken away. Times are on the placer's clock. */
export type NoticedRun = {
	/** What a new run needs. The backend servers to avoid include those with the most tasks of the step that they may have. */
	task: PlacementTask;
	/** The step of its job, by which tasks that must be spread over backend servers belong together; undefined if they need not be. */
	spreadKey?: string | undefined;
	dataRack: string | undefined;
	expectedEndMs: number;
	/** The earliest time at which the backend server is taken away. */
	goneAtMs: number;
	/** The run time that a move throws away. */
	doneMs: number;
};

/** The circumstances of the choice. */
export type MoveContext = {
	nowMs: number;
	/** The factor by which a task takes longer on a rack without its data; undefined if it is not known. */
	remoteRunFactor: number | undefined;
	/** Time from the end of a backend server until its runs are certainly over, so that they may be started again. */
	lossMs: number;
};

/** Time that stopping a run and starting a new one takes, as the check for slow runs assumes it. */
const restartMs = 60;

/**
 * Chooses the runs to stop now and to start again on other backend servers. This handles backend servers that are taken
 * away together at short notice (about 0.15 of them with 2 s left) while the others are under load. A run is moved if it
 * would outlast the notice, and if a new run started now would end within the objective of the job and sooner than one
 * started after the backend server is gone. Each moved run reserves free capacity, so that no more runs are moved than
 * can start at once; those that have done the least go first, since a move throws away what a run has done.
 * @param runs - The runs on backend servers with a notice.
 * @param servers - The other backend servers, with the capacity that waiting tasks have left.
 * @param context - The time and the costs of a move and of a loss.
 *
 * @example
 * ```ts
 * chooseMovedRuns([{...run, expectedEndMs: 2500, goneAtMs: 2000}], [free], {nowMs: 0, remoteRunFactor: undefined, lossMs: 1500}); // the run
 * ```
 */
export function chooseMovedRuns<T extends NoticedRun>(runs: readonly T[], servers: readonly PlacementCandidate[], context: MoveContext): T[] {
	const candidates = servers.map(server => ({...server, expectedChanges: [], sameStepCount: 0}));
	const targets = new Map<string, Set<string>>();
	return runs
		.filter(run => isEndangered(run, context))
		.toSorted((left, right) => left.doneMs - right.doneMs)
		.filter(run => {
			const usedIds = targets.get(run.spreadKey ?? '') ?? new Set();
			const target = findTarget(run, candidates.filter(({id}) => !usedIds.has(id)), context);
			if (target === undefined) {
				return false;
			}

			reserve(target, run.task);
			if (run.spreadKey !== undefined) {
				targets.set(run.spreadKey, usedIds.add(target.id));
			}

			return true;
		});
}

/** Whether a run outlasts the notice. One that ends within the time that a restart takes is not worth a stop. */
function isEndangered({expectedEndMs, goneAtMs}: NoticedRun, {nowMs}: MoveContext): boolean {
	return expectedEndMs > Math.max(goneAtMs, nowMs + restartMs);
}

function findTarget<T extends PlacementCandidate>(run: NoticedRun, candidates: readonly T[], {nowMs, remoteRunFactor, lossMs}: MoveContext): T | undefined {
	const {task, dataRack} = run;
	const near = candidates.filter(({labels}) => dataRack === undefined || labels.includes(dataRack));
	const far = candidates.filter(({labels}) => dataRack !== undefined && !labels.includes(dataRack));
	const choice = choosePlacement({near, far}, task, {nowMs, remoteRunFactor, contention: 0});
	if (choice.outcome !== 'place') {
		return undefined;
	}

	const {candidate, isFar} = choice;
	const endMs = nowMs + restartMs + (task.runMs * (isFar ? remoteRunFactor ?? 1 : 1) / candidate.speed);
	const endAfterLossMs = Math.max(nowMs, run.goneAtMs) + lossMs + task.runMs;
	return endMs <= task.latestEndMs && endMs < endAfterLossMs ? candidate : undefined;
}

function reserve(candidate: PlacementCandidate, {needs}: PlacementTask): void {
	candidate.freeCapacity = {
		cpuMillicores: candidate.freeCapacity.cpuMillicores - needs.cpuMillicores,
		memoryMb: candidate.freeCapacity.memoryMb - needs.memoryMb,
		gpuCount: candidate.freeCapacity.gpuCount - needs.gpuCount,
	};
}
