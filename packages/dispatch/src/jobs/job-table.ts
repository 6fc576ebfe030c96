import type {
	MetricSink, RefusalCode, TimerService, TimerSubscription,
} from '@camphortack/core';
import type {Limiter} from '@camphortack/policy';
import type {AbortReason, OpenJob, OpenTask} from './open-job.js';
import {getChargedSeconds} from './get-charged-seconds.js';
import {createCompleteOutcome, createFailedOutcome, createRefusedOutcome} from './job-outcomes.js';

export type JobTableOptions = {
	timers: TimerService;
	metrics: MetricSink;
	limits: Limiter;
	/** Called to remove the queued tasks of a job and to stop its running tasks. */
	onAborted: (job: OpenJob) => void;
	/** Finds when to retry after a refusal, if known more precisely than the default for the code. */
	findRetryAfterMs: (code: RefusalCode) => number | undefined;
};

/** The open jobs and their deadline timers. Each job ends exactly once. */
export type JobTable = {
	addJob(job: OpenJob, isCharged: boolean): void;
	findJob(key: string): OpenJob | undefined;
	/** Records the completion of a task; completes the job if no task remains. */
	endTask(task: OpenTask): void;
	/** Ends a job before all of its tasks have completed. */
	abort(job: OpenJob, reason: AbortReason): void;
	/** Ends a job none of whose tasks has started. */
	refuse(job: OpenJob, code: RefusalCode): void;
	getCount(): number;
	/** Whether this daemon accounts for the limits of a job. */
	isCharged(job: OpenJob): boolean;
};

type Entry = {job: OpenJob; isCharged: boolean; deadline: TimerSubscription};

export function createJobTable(options: JobTableOptions): JobTable {
	const {timers, metrics, limits} = options;
	const entries = new Map<string, Entry>();

	function addJob(job: OpenJob, isCharged: boolean): void {
		const deadline = timers.addTimer(job.deadlineAtMs - timers.getNowMs(), () => {
			abort(job, {failure: 'deadline', refusal: 'deadline-unreachable'});
		});
		entries.set(job.key, {job, isCharged, deadline});
	}

	function endTask(task: OpenTask): void {
		const entry = entries.get(task.job.key);
		if (entry === undefined) {
			return;
		}

		if (entry.isCharged) {
			limits.endTask(task.job.id, getChargedSeconds(task, timers.getNowMs()));
		}

		task.job.remainingTasks--;
		if (task.job.remainingTasks === 0) {
			close(entry);
			recordCompletion(task.job);
			reportEnd(task.job, createCompleteOutcome(task.job));
		}
	}

	/** Skips parts that were handed over: the daemon that accepted the job counts it. */
	function recordCompletion(job: OpenJob): void {
		if (job.handovers === 0) {
			metrics.increment('job-complete');
			metrics.addTiming('job-response-time', timers.getNowMs() - job.arrivedAtMs);
		}
	}

	function abort(job: OpenJob, {failure, refusal}: AbortReason): void {
		const entry = entries.get(job.key);
		if (entry === undefined) {
			return;
		}

		if (refusal !== undefined && hasNoStartedTask(job)) {
			refuse(job, refusal);
			return;
		}

		close(entry);
		const outcome = createFailedOutcome(job, failure);
		if (job.handovers === 0) {
			metrics.increment(`job-failed-${failure}`);
		}

		options.onAborted(job);
		reportEnd(job, outcome);
	}

	function refuse(job: OpenJob, code: RefusalCode): void {
		const entry = entries.get(job.key);
		if (entry !== undefined) {
			close(entry);
		}

		options.onAborted(job);
		if (job.handovers === 0) {
			metrics.increment(`refused-${code}`);
		}

		reportEnd(job, createRefusedOutcome(job.id, code, options.findRetryAfterMs(code)));
	}

	function close(entry: Entry): void {
		entries.delete(entry.job.key);
		entry.deadline.cancel();
		entry.job.hasEnded = true;
		if (entry.isCharged) {
			releaseLimits(entry.job);
		}
	}

	function releaseLimits(job: OpenJob): void {
		for (const task of job.tasks) {
			if (task.state === 'queued' || task.state === 'not-run') {
				limits.releaseTask(job.id);
			} else if (task.state !== 'done') {
				limits.endTask(job.id, getChargedSeconds(task, timers.getNowMs()));
			}
		}

		limits.closeJob(job.id);
	}

	return {
		addJob,
		findJob: key => entries.get(key)?.job,
		endTask,
		abort,
		refuse,
		getCount: () => entries.size,
		isCharged: job => entries.get(job.key)?.isCharged ?? false,
	};
}

function reportEnd(job: OpenJob, outcome: Parameters<OpenJob['onEnd']>[0]['outcome']): void {
	job.hasEnded = true;
	job.onEnd({outcome, runTimesMs: job.tasks.map(task => Math.round(task.runTimeMs))});
}

/** Whether it is certain that no task of the job has started. */
function hasNoStartedTask(job: OpenJob): boolean {
	return job.tasks.every(task => task.state === 'queued' && !task.mayHaveRun);
}
