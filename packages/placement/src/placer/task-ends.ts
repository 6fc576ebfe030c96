import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import {isDone, type PlacedJob, type PlacedTask} from '../jobs/placed-job.js';
import type {JobOutcome} from '../messages/job-outcome.js';
import type {BackendSession} from '../sessions/backend-session.js';
import type {RunEnd} from '../sessions/run.js';
import type {JobIntake} from './job-intake.js';
import type {RunExpectations} from './run-expectations.js';
import type {ServerPool} from './server-pool.js';

/** Updates tasks whose runs have ended, and ends the jobs that are done or have failed. */
export type TaskEnds = {
	/** Handles the end of the run of a task. */
	handleEnd(job: PlacedJob, task: PlacedTask, end: RunEnd): void;
};

export type TaskEndsOptions = Pick<RunExpectations, 'getRunFactor'> & {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	pool: ServerPool;
	intake: Pick<JobIntake, 'addRun'>;
	/** Called with each job that is done, or of which a task has failed too often. */
	onJobEnd: (job: PlacedJob, result: JobOutcome) => void;
};

/**
 * Creates the handling of task ends of a placer.
 * @param options - The backend servers, the estimates and the logs.
 */
export function createTaskEnds(options: TaskEndsOptions): TaskEnds {
	const {timers, events, metrics, pool, intake, getRunFactor, onJobEnd} = options;

	function handleEnd(job: PlacedJob, task: PlacedTask, end: RunEnd): void {
		const {session} = task;
		task.session = undefined;
		task.state = 'waiting';
		switch (end) {
			case 'done': {
				finishTask(job, task, session!);
				break;
			}

			case 'failed': {
				failTask(job, task, session!);
				break;
			}

			case 'unhealthy':
			case 'no-room': {
				task.avoidedServerIds.add(session!.getDescription().id);
				break;
			}

			case 'unanswered': {
				avoidUnanswered(job, task, session!);
				recordRepeated(task, session!, end);
				break;
			}

			case 'old-run':
			case 'stopped':
			case 'lapsed':
			case 'not-started':
			case 'unlisted': {
				recordRepeated(task, session!, end);
				break;
			}

			case 'lost': {
				handleLostRun(job, task, session!);
				break;
			}
		}
	}

	/**
	 * Starts a lost task again, unless another placer may have adopted its run: behind the cut of an availability zone, one is handed the
	 * jobs of the entry daemons there, and keeps the runs alive that it can reach.
	 */
	function handleLostRun(job: PlacedJob, task: PlacedTask, session: BackendSession): void {
		if (job.mayBeElsewhere) {
			onJobEnd(job, {outcome: 'unknown'});
		} else {
			recordRepeated(task, session, 'lost');
		}
	}

	/** While requests to many backend servers go unanswered, the one that a request was sent to is not to blame. */
	function avoidUnanswered(job: PlacedJob, task: PlacedTask, session: BackendSession): void {
		const serverId = session.getDescription().id;
		task.avoidedServerIds.add(serverId);
		if (!pool.isLossWidespread()) {
			pool.findServer(serverId)?.health.addUnansweredRequest(job.request.jobId);
		}
	}

	function recordRepeated(task: PlacedTask, session: BackendSession, reason: RunEnd): void {
		events.write('task-repeated', {
			task: task.name, run: task.runNumber, server: session.getDescription().id, reason,
		});
	}

	function finishTask(job: PlacedJob, task: PlacedTask, session: BackendSession): void {
		const durationMs = (timers.getNowMs() - task.startedAtMs) / getRunFactor(job, task, session);
		task.state = 'done';
		if (!task.isAdopted) {
			task.durationMs = durationMs;
			if (session.getColdUntilMs() <= task.startedAtMs) {
				intake.addRun(job.request.queueName, durationMs);
			}
		}

		pool.findServer(session.getDescription().id)?.health.addSuccess();
		metrics.increment('task-done');
		if (isDone(job)) {
			onJobEnd(job, {outcome: 'completed'});
		}
	}

	function failTask(job: PlacedJob, task: PlacedTask, session: BackendSession): void {
		const serverId = session.getDescription().id;
		task.failureCount++;
		task.avoidedServerIds.add(serverId);
		pool.findServer(serverId)?.health.addFailure(job.request.jobId);
		metrics.increment('task-error');
		events.write('task-failed', {
			task: task.name, run: task.runNumber, server: serverId, failures: task.failureCount, mostAttempts: job.request.mostAttempts,
		});
		if (task.failureCount >= job.request.mostAttempts) {
			onJobEnd(job, {outcome: 'failed', reason: 'attempts-used'});
		}
	}

	return {handleEnd};
}
