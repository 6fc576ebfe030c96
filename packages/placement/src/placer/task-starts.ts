import type {MetricSink, TimerService} from '@camphortack/core';
import type {CrashRegister} from '../crashes/crash-register.js';
import type {TrialRuns} from '../crashes/trial-runs.js';
import {
	getStartableTasks, isDone, type PlacedJob, type PlacedTask,
} from '../jobs/placed-job.js';
import type {StartWindow} from '../lag/create-start-window.js';
import type {JobOutcome} from '../messages/job-outcome.js';
import type {SizeShares} from '../queue/create-size-shares.js';
import {hasOldReport} from '../servers/has-old-report.js';
import type {Allocation, CapacityTable} from './capacity-table.js';
import type {EvacuatedJobs} from './evacuated-jobs.js';
import type {JobRecovery} from './job-recovery.js';
import {recordDistance} from './record-distance.js';
import type {PooledServer, ServerPool} from './server-pool.js';
import type {TakeoverLog} from './takeover-log.js';

/** Offers far places to a task, after all tasks of the pass have been offered near ones. */
export type DeferredStart = () => void;

/** Starts the waiting tasks of jobs on backend servers. */
export type TaskStarts = {
	/** Starts the tasks of a job for which there is room, or adopts their runs. Adds the starts that wait until all jobs had their turn. */
	startTasks(job: PlacedJob, table: CapacityTable, deferred: DeferredStart[]): void;
	/** Gets the backend servers on which tasks of a service may start. */
	getUsableServers(service: string): PooledServer[];
};

export type TaskStartsOptions = {
	timers: TimerService;
	metrics: MetricSink;
	pool: ServerPool;
	recovery: JobRecovery;
	evacuatedJobs: EvacuatedJobs;
	crashRegister: CrashRegister;
	trialRuns: TrialRuns;
	startWindow: StartWindow;
	sizeShares: SizeShares;
	takeoverLog: TakeoverLog;
	/** Called with each job whose tasks are all done. */
	onJobEnd: (job: PlacedJob, result: JobOutcome) => void;
};

/**
 * Creates the starts of a placer.
 * @param options - The backend servers, and what decides which of them a task may start on.
 *
 * @example
 * ```ts
 * const taskStarts = createTaskStarts(options);
 * taskStarts.startTasks(job, table, deferred);
 * ```
 */
export function createTaskStarts(options: TaskStartsOptions): TaskStarts {
	const {timers, metrics, pool, recovery, evacuatedJobs, crashRegister, trialRuns, startWindow, sizeShares, takeoverLog, onJobEnd} = options;

	function startTaskIfPossible(job: PlacedJob, task: PlacedTask, table: CapacityTable): Allocation['outcome'] {
		// A run of an earlier submission of the same job may still be stopping.
		const isStartable = pool.findRun(task.name) === undefined && crashRegister.getVerdict(task.name) === 'startable';
		const allocation: Allocation = isStartable && trialRuns.mayStart(task) && startWindow.isOpen() ? table.allocate(job, task) : {outcome: 'none'};
		if (allocation.outcome === 'server') {
			recordDistance(metrics, task, {isFar: allocation.isFar, nowMs: timers.getNowMs()});
			startTask(job, task, allocation.server);
			if (trialRuns.isOnTrial(task.name)) {
				table.excludeServer(allocation.server.session.getDescription().id);
				task.trialWaitSinceMs = undefined;
			}
		} else if (allocation.outcome === 'wait' && task.nearWaitSinceMs === undefined) {
			task.nearWaitSinceMs = timers.getNowMs();
			metrics.increment('near-wait');
		} else if (isStartable && table.hasRoom(task) && trialRuns.isOnTrial(task.name)) {
			task.trialWaitSinceMs ??= timers.getNowMs();
		}

		return allocation.outcome;
	}

	function mayStartOn({session}: PooledServer, service: string): boolean {
		const description = session.getDescription();
		const isReady = description.state === 'ready' && !hasOldReport(description) && !trialRuns.isReserved(description.id);
		return description.service === service && isReady && !evacuatedJobs.isEvacuated(description.availabilityZone);
	}

	function startTask(job: PlacedJob, task: PlacedTask, {session}: PooledServer): void {
		task.state = 'running';
		task.session = session;
		task.runNumber++;
		task.isAdopted = false;
		task.startedAtMs = timers.getNowMs();
		if (!job.hasStarted) {
			sizeShares.addStart(job.request.queueName, job.relativeWork, job.sizePlace);
		}

		job.hasStarted = true;
		job.serverIds.push(session.getDescription().id);
		metrics.increment('task-started');
		takeoverLog.handleStart();
		trialRuns.addStart(task.name, session.getDescription().id);
		session.start({
			taskName: task.name, runNumber: task.runNumber, payload: job.request.payload, needs: task.needs,
		});
	}

	return {
		startTasks(job, table, deferred) {
			for (const task of getStartableTasks(job)) {
				if (recovery.adoptEarlierRun(task)) {
					job.hasStarted = true;
				} else if (startTaskIfPossible(job, task, table) === 'deferred') {
					deferred.push(() => {
						table.permitFarRuns();
						startTaskIfPossible(job, task, table);
					});
				}
			}

			if (isDone(job)) {
				onJobEnd(job, {outcome: 'completed'});
			}
		},
		getUsableServers: service => [...pool.getServers()].filter(server => server.session.getState() === 'held' && mayStartOn(server, service)),
	};
}
