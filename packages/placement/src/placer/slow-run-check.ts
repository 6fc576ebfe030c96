import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import {findSlowness, shortestJudgedMs} from '../health/find-slowness.js';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import {getReportedRunningMs} from '../sessions/run.js';
import type {JobLedger} from './job-ledger.js';
import type {ServerPool} from './server-pool.js';

/** Stops runs that are so slow that another backend server would end the task sooner. */
export type SlowRunCheck = {
	stop(): void;
};

export type SlowRunCheckOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	ledger: JobLedger;
	pool: ServerPool;
};

const checkIntervalMs = 50;
/** How often one task is begun again because its run was slow. */
const mostSlowRuns = 2;
/** Progress from which the run time of a task can be projected. */
const projectablePercent = 10;

/**
 * Creates the check, running.
 * @param options - The jobs and the backend servers.
 */
export function createSlowRunCheck({timers, events, metrics, ledger, pool}: SlowRunCheckOptions): SlowRunCheck {
	function checkRuns(): void {
		for (const job of ledger.getJobs()) {
			for (const task of job.tasks) {
				if (task.state === 'running' && !task.isAdopted) {
					checkSlowRun(job, task);
				}
			}
		}
	}

	function checkSlowRun(job: PlacedJob, task: PlacedTask): void {
		const run = task.session?.findRun(task.name);
		if (run?.state !== 'running' || task.session?.getState() !== 'held' || task.slownessCount >= mostSlowRuns) {
			return;
		}

		const runningMs = getReportedRunningMs(run);
		if (runningMs < shortestJudgedMs) {
			return;
		}

		const {percent} = run;
		const slowness = findSlowness({
			runningMs, percent, expectedMs: job.longestMs, siblingMs: getSiblingTimes(job, task),
		});
		if (slowness === undefined) {
			return;
		}

		const serverId = task.session.getDescription().id;
		task.slownessCount++;
		task.avoidedServerIds.add(serverId);
		pool.findServer(serverId)?.health.addSlowness(job.request.jobId);
		metrics.increment('task-slow');
		events.write('task-slow', {
			task: task.name, run: task.runNumber, server: serverId, slowness, runningMs: Math.round(runningMs), expectedMs: Math.round(job.longestMs), percent,
		});
		task.session.stop(task.name);
	}

	/** Gets the run times of tasks of the same step elsewhere: those that ended, and those far enough to project. */
	function getSiblingTimes(job: PlacedJob, task: PlacedTask): number[] {
		const times: number[] = [];
		for (const other of job.tasks) {
			const isElsewhere = other !== task && other.step === task.step && other.session !== task.session;
			const timeMs = isElsewhere ? findRunTimeMs(other) : undefined;
			if (timeMs !== undefined) {
				times.push(timeMs);
			}
		}

		return times;
	}

	function findRunTimeMs(task: PlacedTask): number | undefined {
		if (task.state !== 'running') {
			return task.durationMs;
		}

		const run = task.session?.findRun(task.name);
		const isProjectable = run !== undefined && !task.isAdopted && run.percent >= projectablePercent;
		return isProjectable ? getReportedRunningMs(run) * 100 / run.percent : undefined;
	}

	const subscription = timers.addInterval(checkIntervalMs, checkRuns);
	return {
		stop() {
			subscription.cancel();
		},
	};
}
