import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import {findSlowness, minAssessedRunMs} from '../health/find-slowness.js';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import type {BackendSession} from '../sessions/backend-session.js';
import {getReportedRunningMs} from '../sessions/run.js';
import type {JobTable} from './job-table.js';
import type {ServerPool} from './server-pool.js';

/** Stops runs that are so slow that the task would end sooner on another backend server. */
export type SlowRunDetector = {
	stop(): void;
};

export type SlowRunDetectorOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	jobTable: JobTable;
	pool: ServerPool;
	/** Gets the factor by which a task takes longer on a backend server than near its data. */
	getRunFactor: (job: PlacedJob, task: PlacedTask, session: BackendSession) => number;
};

const checkIntervalMs = 50;
/** Maximum number of runs of a task that are stopped because they are slow. */
const maxSlowRunsPerTask = 2;
/** Minimum progress for projecting the run time of a task. */
const minProjectablePercent = 10;

/**
 * Creates the detector and starts it.
 * @param options - The jobs and the backend servers.
 */
export function createSlowRunDetector({timers, events, metrics, jobTable, pool, getRunFactor}: SlowRunDetectorOptions): SlowRunDetector {
	function checkRuns(): void {
		for (const job of jobTable.getJobs()) {
			for (const task of job.tasks) {
				if (task.state === 'running' && !task.isAdopted) {
					checkRun(job, task);
				}
			}
		}
	}

	function checkRun(job: PlacedJob, task: PlacedTask): void {
		const run = task.session?.findRun(task.name);
		if (run?.state !== 'running' || task.session?.getState() !== 'held' || task.slowRunCount >= maxSlowRunsPerTask) {
			return;
		}

		// The time during which the backend server was cold does not count: a task is slow everywhere on such a server.
		const runningMs = getReportedRunningMs(run) - Math.max(0, task.session.getColdUntilMs() - task.startedAtMs);
		if (runningMs < minAssessedRunMs) {
			return;
		}

		const {percent} = run;
		const slowness = findSlowness({
			runningMs: runningMs / getRunFactor(job, task, task.session), percent, expectedMs: job.criticalPathMs, siblingMs: getSiblingTimes(job, task),
		});
		if (slowness === undefined) {
			return;
		}

		const serverId = task.session.getDescription().id;
		task.slowRunCount++;
		task.avoidedServerIds.add(serverId);
		pool.findServer(serverId)?.health.addSlowness(job.request.jobId);
		metrics.increment('task-slow');
		events.write('task-slow', {
			task: task.name, run: task.runNumber, server: serverId, slowness, runningMs: Math.round(runningMs), expectedMs: Math.round(job.criticalPathMs), percent,
		});
		task.session.stop(task.name);
	}

	/** Gets the actual or projected run times of tasks of the same step on other backend servers. */
	function getSiblingTimes(job: PlacedJob, task: PlacedTask): number[] {
		const times: number[] = [];
		for (const other of job.tasks) {
			const isElsewhere = other !== task && other.step === task.step && other.session !== task.session;
			const timeMs = isElsewhere ? findRunTimeMs(job, other) : undefined;
			if (timeMs !== undefined) {
				times.push(timeMs);
			}
		}

		return times;
	}

	/** Finds the run time that a task has, or would have, near its data. */
	function findRunTimeMs(job: PlacedJob, task: PlacedTask): number | undefined {
		if (task.state !== 'running') {
			return task.durationMs;
		}

		const run = task.session?.findRun(task.name);
		const isProjectable = run !== undefined && !task.isAdopted && run.percent >= minProjectablePercent;
		return isProjectable ? getReportedRunningMs(run) * 100 / run.percent / getRunFactor(job, task, task.session!) : undefined;
	}

	const subscription = timers.addInterval(checkIntervalMs, checkRuns);
	return {
		stop() {
			subscription.cancel();
		},
	};
}
