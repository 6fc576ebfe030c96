import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import {
	findPace, isRestartSooner, minAssessedRunMs, type RunProgress,
} from '../health/find-pace.js';
import {createSlowRunEvidence, type AssessedRun} from '../health/slow-run-evidence.js';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import type {BackendSession} from '../sessions/backend-session.js';
import {getReportedRunningMs, type Run} from '../sessions/run.js';
import type {RunRecorder} from '../speed/run-recorder.js';
import type {ServerSpeeds} from '../speed/server-speeds.js';
import type {JobTable} from './job-table.js';
import type {ServerPool} from './server-pool.js';

/** Stops runs on slow backend servers that are so slow that the task would end sooner on another one. */
export type SlowRunDetector = {
	/**
	 * Records a successful run. Returns whether it counts as a success of the backend server, which it does not while the
	 * backend server is suspected of slowing its runs down.
	 */
	addEnd(job: PlacedJob, task: PlacedTask): boolean;
	stop(): void;
};

export type SlowRunDetectorOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	jobTable: JobTable;
	pool: ServerPool;
	speeds: ServerSpeeds;
	runRecorder: RunRecorder;
};

type SlowRun = {
	job: PlacedJob;
	task: PlacedTask;
	session: BackendSession;
	progress: RunProgress;
	pace: 'stuck' | 'slow';
	/** Whether the backend server is certainly the reason. */
	isCertain: boolean;
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
export function createSlowRunDetector(options: SlowRunDetectorOptions): SlowRunDetector {
	const {timers, events, metrics, jobTable, pool, speeds, runRecorder} = options;
	const evidence = createSlowRunEvidence(timers);

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
		const {session} = task;
		const run = session?.findRun(task.name);
		if (session === undefined || run?.state !== 'running' || session.getState() !== 'held' || task.slowRunCount >= maxSlowRunsPerTask) {
			return;
		}

		// The time during which the backend server was cold does not count: a task is slow everywhere on such a server.
		const runningMs = getReportedRunningMs(run) - Math.max(0, session.getColdUntilMs() - task.startedAtMs);
		if (runningMs < minAssessedRunMs) {
			return;
		}

		const progress = getProgress({
			job, task, serverId: session.getDescription().id, rate: getRate(job, task, session),
		}, runningMs, run.percent);
		const pace = findPace(progress);
		const assessed = getAssessedRun({
			task, job, progress, serverId: session.getDescription().id,
		});
		if (pace === 'slow') {
			evidence.addSlowRun(assessed);
		} else if (pace === 'normal') {
			evidence.addNormalRun(assessed);
		}

		const suspicion = evidence.getSuspicion(assessed.serverId);
		if (pace === 'stuck') {
			stopRun({
				job, task, session, progress, pace, isCertain: true,
			});
		} else if (pace === 'slow' && suspicion !== 'none' && isRestartSooner(progress, getLikelyRate())) {
			stopRun({
				job, task, session, progress, pace, isCertain: suspicion === 'certain',
			});
		}
	}

	function stopRun({job, task, session, progress, pace, isCertain}: SlowRun): void {
		const serverId = session.getDescription().id;
		const {runningMs, percent, expectedMs, rate} = progress;
		task.slowRunCount++;
		task.avoidedServerIds.add(serverId);
		pool.findServer(serverId)?.health.addSlowness(job.request.jobId, isCertain);
		metrics.increment('task-slow');
		events.write('task-slow', {
			task: task.name,
			run: task.runNumber,
			server: serverId,
			slowness: pace,
			runningMs: Math.round(runningMs),
			expectedMs: Math.round(expectedMs),
			percent,
			rate: Number(rate.toFixed(2)),
		});
		session.stop(task.name);
	}

	function getRate(job: PlacedJob, task: PlacedTask, session: BackendSession): number {
		return runRecorder.getRate(job, task, session.getDescription());
	}

	/** Gets the median speed of the backend servers that may take a stopped task. */
	function getLikelyRate(): number {
		const rates = [...pool.getServers()]
			.filter(({session}) => session.getState() === 'held')
			.map(({session}) => speeds.getSpeed(session.getDescription()))
			.toSorted((left, right) => left - right);
		return rates[Math.floor(rates.length / 2)] ?? 1;
	}

	function getProgress({job, task, serverId, rate}: {job: PlacedJob; task: PlacedTask; serverId: string; rate: number}, runningMs: number, percent: number): RunProgress {
		return {
			runningMs, percent, rate, expectedMs: job.criticalPathMs, siblingMs: getSiblingTimes(job, task, serverId),
		};
	}

	/** Gets the actual or projected run times, at nominal speed, of tasks of the same step on other backend servers. */
	function getSiblingTimes(job: PlacedJob, task: PlacedTask, serverId: string): number[] {
		const times: number[] = [];
		for (const other of job.tasks) {
			const timeMs = other !== task && other.step === task.step ? findNominalMs(job, other, serverId) : undefined;
			if (timeMs !== undefined) {
				times.push(timeMs);
			}
		}

		return times;
	}

	function findNominalMs(job: PlacedJob, task: PlacedTask, exceptServerId: string): number | undefined {
		if (task.state !== 'running') {
			return task.finishedRun?.server.id === exceptServerId ? undefined : task.finishedRun?.nominalMs;
		}

		const {session} = task;
		const run = session?.findRun(task.name);
		return session === undefined || session.getDescription().id === exceptServerId || run === undefined || !isProjectable(task, run)
			? undefined
			: getReportedRunningMs(run) * 100 / run.percent * getRate(job, task, session);
	}

	const subscription = timers.addInterval(checkIntervalMs, checkRuns);
	return {
		addEnd(job, task) {
			const finished = task.finishedRun;
			if (finished === undefined) {
				return true;
			}

			const {server, durationMs, nominalMs} = finished;
			const progress = getProgress({
				job, task, serverId: server.id, rate: nominalMs / durationMs,
			}, durationMs, 100);
			const assessed = getAssessedRun({
				task, job, progress, serverId: server.id,
			});
			const pace = findPace(progress);
			if (pace === 'slow') {
				evidence.addSlowRun(assessed);
			} else if (pace === 'normal') {
				evidence.addNormalRun(assessed);
				evidence.addNormalEnd();
			}

			finished.isSuspect = evidence.getSuspicion(server.id) !== 'none';
			return !finished.isSuspect;
		},
		stop() {
			subscription.cancel();
		},
	};
}

function isProjectable(task: PlacedTask, run: Run): boolean {
	return !task.isAdopted && run.percent >= minProjectablePercent;
}

function getAssessedRun({job, task, progress, serverId}: {job: PlacedJob; task: PlacedTask; progress: RunProgress; serverId: string}): AssessedRun {
	return {
		serverId, taskName: task.name, key: progress.siblingMs.length === 0 ? job.request.jobId : task.name, startedAtMs: task.startedAtMs,
	};
}
