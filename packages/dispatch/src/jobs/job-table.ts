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
	/** Drops what waits of a job and stops what runs. */
	onAborted: (job: OpenJob) => void;
};

/** The open jobs, each with its deadline. Each ends exactly once. */
export type JobTable = {
	addJob(job: OpenJob, isCharged: boolean): void;
	findJob(key: string): OpenJob | undefined;
	/** Counts a task as done; ends the job when it was the last one. */
	endTask(task: OpenTask): void;
	/** Ends a job before all its tasks are done. */
	abort(job: OpenJob, reason: AbortReason): void;
	/** Ends a job of which nothing started. */
	refuse(job: OpenJob, code: RefusalCode): void;
	getCount(): number;
	/** Whether the limits of a job are accounted here. */
	isCharged(job: OpenJob): boolean;
};

type Entry = {job: OpenJob; isCharged: boolean; deadline: TimerSubscription};

/**
 * Creates the job book.
 * @param options - Ports and callbacks.
 */
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
			countComplete(task.job);
			finish(task.job, createCompleteOutcome(task.job));
		}
	}

	/** Parts of other daemons' jobs are counted there. */
	function countComplete(job: OpenJob): void {
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

		if (refusal !== undefined && isUntouched(job)) {
			refuse(job, refusal);
			return;
		}

		close(entry);
		const outcome = createFailedOutcome(job, failure);
		if (job.handovers === 0) {
			metrics.increment(`job-failed-${failure}`);
		}

		options.onAborted(job);
		finish(job, outcome);
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

		finish(job, createRefusedOutcome(job.id, code));
	}

	function close(entry: Entry): void {
		entries.delete(entry.job.key);
		entry.deadline.cancel();
		entry.job.hasEnded = true;
		if (entry.isCharged) {
			giveBackLimits(entry.job);
		}
	}

	function giveBackLimits(job: OpenJob): void {
		for (const task of job.tasks) {
			if (task.state === 'queued' || task.state === 'given-up') {
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

function finish(job: OpenJob, outcome: Parameters<OpenJob['onEnd']>[0]['outcome']): void {
	job.hasEnded = true;
	job.onEnd({outcome, runTimesMs: job.tasks.map(task => Math.round(task.runTimeMs))});
}

/** Whether certainly no task of the job started. */
function isUntouched(job: OpenJob): boolean {
	return job.tasks.every(task => task.state === 'queued' && !task.mayHaveRun);
}
