import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import {runNumbersPerGeneration, type PlacedJob, type PlacedTask} from '../jobs/placed-job.js';
import {chooseMovedRuns, type NoticedRun} from '../queue/choose-moved-runs.js';
import type {BackendSession} from '../sessions/backend-session.js';
import type {Run} from '../sessions/run.js';
import {leaseMs, takeoverMarginMs} from '../sessions/session-timings.js';
import type {CapacityTable} from './capacity-table.js';
import type {JobTable} from './job-table.js';
import type {RunExpectations} from './run-expectations.js';
import type {ServerPool} from './server-pool.js';

/** Moves runs away from backend servers that are taken away at short notice. */
export type MovedRuns = {
	/** Reserves capacity for the tasks whose runs are being stopped, so that other tasks do not take it meanwhile. */
	reserveCapacity(service: string, table: CapacityTable): void;
	/**
	 * Stops the runs that are worth a move. Their tasks wait again when their runs are over, as those of slow runs do.
	 * @param getTable - Gets the capacity of a service that waiting tasks have left.
	 */
	moveRuns(getTable: (service: string) => CapacityTable): void;
};

export type MovedRunsOptions = RunExpectations & {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	jobTable: JobTable;
	pool: ServerPool;
	remoteRunFactor: number | undefined;
};

type MovableRun = NoticedRun & {
	job: PlacedJob;
	placedTask: PlacedTask;
	session: BackendSession;
};

type RunProgress = Pick<MovableRun, 'expectedEndMs' | 'doneMs'> & {
	/** The whole run time on its backend server. */
	projectedMs: number;
};

/**
 * Creates the moves of a placer.
 * @param options - The open jobs and what is expected of their runs.
 */
export function createMovedRuns(options: MovedRunsOptions): MovedRuns {
	const {timers, events, metrics, jobTable, pool, remoteRunFactor, getRunFactor, findExpectedEndMs} = options;
	/** The tasks whose runs were told to stop and may not be over yet. */
	let stopping: MovableRun[] = [];

	function getRunsByService(): Map<string, MovableRun[]> {
		const runs = new Map<string, MovableRun[]>();
		for (const {session} of pool.getServers()) {
			const goneAtMs = session.getState() === 'held' ? session.findGoneAtMs() : undefined;
			if (goneAtMs !== undefined) {
				const found = [...session.getRuns().values()].map(run => findMovableRun(session, run, goneAtMs)).filter(run => run !== undefined);
				const {service} = session.getDescription();
				if (found.length > 0) {
					runs.set(service, [...(runs.get(service) ?? []), ...found]);
				}
			}
		}

		return runs;
	}

	function findMovableRun(session: BackendSession, run: Run, goneAtMs: number): MovableRun | undefined {
		const found = run.state === 'running' ? jobTable.findTask(run.taskName) : undefined;
		if (found === undefined) {
			return undefined;
		}

		const {job, task} = found;
		const isCurrent = task.session === session && task.runNumber === run.runNumber;
		const hasAttemptsLeft = task.runNumber % runNumbersPerGeneration < job.request.mostAttempts;
		// While the runs of an earlier placer are looked for, a task that has lost its run could not start again.
		const isMovable = isCurrent && hasAttemptsLeft && job.recoveryDeadlineMs === undefined;
		return isMovable ? getMovableRun(job, task, session, {run, goneAtMs}) : undefined;
	}

	function getMovableRun(job: PlacedJob, task: PlacedTask, session: BackendSession, {run, goneAtMs}: {run: Run; goneAtMs: number}): MovableRun {
		const {dataRack, requiredLabel, mostPerServer} = job.request.steps[task.step]!;
		const progress = getProgress(job, task, session, run);
		return {
			job,
			placedTask: task,
			session,
			task: {
				needs: task.needs,
				requiredLabel,
				avoidedServerIds: mostPerServer === undefined ? task.avoidedServerIds : new Set([...task.avoidedServerIds, ...getFullServerIds(job, task, mostPerServer)]),
				runMs: Math.max(task.expectedMs, progress.projectedMs / getRunFactor(job, task, session)),
				latestEndMs: job.arrivedAtMs + job.objectiveMs - task.followingMs,
				waitedMs: 0,
			},
			spreadKey: mostPerServer === undefined ? undefined : `${job.request.jobId} ${task.step}`,
			dataRack,
			goneAtMs,
			expectedEndMs: progress.expectedEndMs,
			doneMs: progress.doneMs,
		};
	}

	/** Gets what a run has done and is expected to take. The start of an adopted run is not known, only its progress. */
	function getProgress(job: PlacedJob, task: PlacedTask, session: BackendSession, run: Run): RunProgress {
		const nowMs = timers.getNowMs();
		if (!task.isAdopted) {
			const expectedEndMs = findExpectedEndMs(run, session)!;
			return {expectedEndMs, doneMs: nowMs - task.startedAtMs, projectedMs: expectedEndMs - task.startedAtMs};
		}

		const runMs = task.expectedMs * getRunFactor(job, task, session);
		return {expectedEndMs: nowMs + (runMs * (1 - (run.percent / 100))), doneMs: runMs * run.percent / 100, projectedMs: runMs};
	}

	function stopRun({job, placedTask, session, goneAtMs, expectedEndMs, doneMs}: MovableRun): void {
		const nowMs = timers.getNowMs();
		metrics.increment('task-moved');
		events.write('task-moved', {
			task: placedTask.name,
			run: placedTask.runNumber,
			server: session.getDescription().id,
			noticeMs: Math.max(0, Math.round(goneAtMs - nowMs)),
			remainingMs: Math.round(expectedEndMs - nowMs),
			doneMs: Math.round(doneMs),
			ageMs: Math.round(nowMs - job.arrivedAtMs),
		});
		session.stop(placedTask.name);
	}

	function isStopping({job, placedTask, session}: MovableRun): boolean {
		return !job.isEnded && placedTask.session === session && session.findRun(placedTask.name)?.state === 'stopping';
	}

	return {
		reserveCapacity(service, table) {
			stopping = stopping.filter(run => isStopping(run));
			for (const {job, placedTask, session} of stopping) {
				// The runs of a backend server that does not respond are over only when their leases are.
				if (job.request.service === service && session.getState() !== 'silent') {
					table.reserve(job, placedTask);
				}
			}
		},
		moveRuns(getTable) {
			for (const [service, runs] of getRunsByService()) {
				const moved = chooseMovedRuns(runs, getTable(service).getCandidates(), {
					nowMs: timers.getNowMs(), remoteRunFactor, lossMs: leaseMs + takeoverMarginMs,
				});
				for (const run of moved) {
					stopRun(run);
				}

				stopping.push(...moved);
			}
		},
	};
}

/** Gets the backend servers on which the most tasks of a step run that may run there. */
function getFullServerIds(job: PlacedJob, {step}: PlacedTask, mostPerServer: number): string[] {
	const counts = new Map<string, number>();
	for (const {session} of job.tasks.filter(task => task.step === step && task.state === 'running')) {
		const id = session?.getDescription().id ?? '';
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	return [...counts].filter(([, count]) => count >= mostPerServer).map(([id]) => id);
}
