import type {TimerService} from '@camphortack/core';

/** A run of a task, as evidence on the backend server that it runs on. */
export type AssessedRun = {
	serverId: string;
	taskName: string;
	/** What is slow if not the backend server: the task, or its job if there is nothing to compare the task with. */
	key: string;
	startedAtMs: number;
};

/** Distinguishes slow backend servers from tasks that take long by themselves. */
export type SlowRunEvidence = {
	/** Records a run that is far behind its expected pace; to be repeated while it is. */
	addSlowRun(run: AssessedRun): void;
	/** Records a run that is near its expected pace. */
	addNormalRun(run: Omit<AssessedRun, 'key'>): void;
	/** Records the end of a run that was never far behind. */
	addNormalEnd(): void;
	/** Gets whether the backend server is the reason for its slow runs. */
	getSuspicion(serverId: string): Suspicion;
};

/**
 * - `none`: its slow runs may be long by themselves.
 * - `likely`: enough slow runs to stop them.
 * - `certain`: enough to eject the backend server.
 */
export type Suspicion = 'none' | 'likely' | 'certain';

type ServerRuns = {
	/** When the slow runs were last seen, by task. */
	slowRuns: Map<string, {key: string; startedAtMs: number; seenAtMs: number}>;
	/** The latest start of a run that was near its expected pace. */
	normalStartMs: number;
	seenAtMs: number;
};

/** How long a slow run counts after it was last seen. */
const retentionMs = 3000;
/** Time after which a backend server without assessed runs is forgotten, so that replaced backend servers take no memory. */
const serverRetentionMs = 60_000;
/** Weight of the assumption that no task is long by itself, as a number of runs. */
const initialRunCount = 20;
/** Number of runs over which the share of long tasks is a mean. */
const maxRunCount = 500;
/** Share of the runs on healthy backend servers that may be stopped: half of the bound for a calm day. */
const maxFalseStopShare = 0.001;
/** However many tasks are long by themselves, this many in a row are not. */
const maxNeededRuns = 5;
/** Share of the runs by which healthy backend servers may be ejected. */
const maxFalseEjectionShare = 0.0001;

/**
 * Creates the evidence. On a backend server that is slow, every run is; so a run that started after a slow one and keeps its
 * pace shows that the slow one is long by itself. The more tasks are long by themselves, the more slow ones in a row are
 * needed. This handles backend servers that are 5 to 8 times slower among tasks of which 3% take 7 times as long.
 * @param timers - The clock.
 *
 * @example
 * ```ts
 * evidence.addSlowRun({serverId: 'server-1', taskName: 'task-1', key: 'task-1', startedAtMs: 0});
 * evidence.addSlowRun({serverId: 'server-1', taskName: 'task-2', key: 'task-2', startedAtMs: 50});
 * evidence.getSuspicion('server-1'); // 'likely'
 * ```
 */
export function createSlowRunEvidence(timers: TimerService): SlowRunEvidence {
	const servers = new Map<string, ServerRuns>();
	let longShare = 0;
	let runCount = initialRunCount;

	function getRuns(serverId: string): ServerRuns {
		const nowMs = timers.getNowMs();
		let runs = servers.get(serverId);
		if (runs === undefined) {
			forgetUnseen(nowMs);
			runs = {slowRuns: new Map(), normalStartMs: Number.NEGATIVE_INFINITY, seenAtMs: nowMs};
			servers.set(serverId, runs);
		}

		runs.seenAtMs = nowMs;
		return runs;
	}

	function forgetUnseen(nowMs: number): void {
		for (const [serverId, {seenAtMs}] of servers) {
			if (nowMs - seenAtMs > serverRetentionMs) {
				servers.delete(serverId);
			}
		}
	}

	/** Records whether a run was long by itself. */
	function addLength(isLong: boolean): void {
		runCount = Math.min(maxRunCount, runCount + 1);
		longShare += (Number(isLong) - longShare) / runCount;
	}

	return {
		addSlowRun({serverId, taskName, key, startedAtMs}) {
			const {slowRuns, normalStartMs} = getRuns(serverId);
			if (startedAtMs >= normalStartMs) {
				slowRuns.set(taskName, {key, startedAtMs, seenAtMs: timers.getNowMs()});
			}
		},
		addNormalRun({serverId, taskName, startedAtMs}) {
			const runs = getRuns(serverId);
			runs.normalStartMs = Math.max(runs.normalStartMs, startedAtMs);
			if (runs.slowRuns.size === 0) {
				return;
			}

			runs.slowRuns.delete(taskName);
			for (const [otherName, run] of runs.slowRuns) {
				if (run.startedAtMs < startedAtMs) {
					runs.slowRuns.delete(otherName);
					addLength(true);
				}
			}
		},
		addNormalEnd() {
			addLength(false);
		},
		getSuspicion(serverId) {
			const slowRuns = servers.get(serverId)?.slowRuns;
			// The usual case, asked for every run on every check.
			if (slowRuns === undefined || slowRuns.size === 0) {
				return 'none';
			}

			const oldestMs = timers.getNowMs() - retentionMs;
			for (const [taskName, {seenAtMs}] of slowRuns) {
				if (seenAtMs < oldestMs) {
					slowRuns.delete(taskName);
				}
			}

			const count = new Set([...slowRuns.values()].map(({key}) => key)).size;
			if (count >= getNeededRuns(longShare, maxFalseEjectionShare)) {
				return 'certain';
			}

			return count > 0 && count >= getNeededRuns(longShare, maxFalseStopShare) ? 'likely' : 'none';
		},
	};
}

/** Gets how many slow runs in a row are unlikely enough to be all long by themselves. All of them would be stopped. */
function getNeededRuns(longShare: number, maxFalseShare: number): number {
	let count = 1;
	while (count < maxNeededRuns && count * (longShare ** count) > maxFalseShare) {
		count++;
	}

	return count;
}
