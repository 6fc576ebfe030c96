import type {Job, TimerService} from '@camphortack/core';
import type {JobTable} from '../jobs/job-table.js';
import type {PoolLoad} from '../messages/dispatch-messages.js';
import type {PartnerTable} from '../peers/partner-table.js';
import type {TaskQueues} from '../queues/task-queues.js';

export type DeadlineCheckOptions = {
	timers: TimerService;
	queues: TaskQueues;
	jobs: JobTable;
	partners: PartnerTable;
	getOwnLoad: (pool: string) => PoolLoad;
	/** Gets the expected run time of a service's tasks. */
	getMeanRunTimeMs: (service: string) => number;
};

/** A job with queued tasks on this daemon and the time it can still wait without missing its deadline. */
type WaitingJob = {taskCount: number; remainingMs: number};

/** Factor applied to the mean run time as a margin, because long tasks complete late. */
const runTimeMarginFactor = 1.4;
/** A queue that has been non-empty for this long is assumed to receive new tasks as fast as it is served. */
const persistentQueueMs = 10_000;
/** On a daemon that manages no slots, the last task of a job is assumed to wait this many times as long as its first. */
const remoteWaitFactor = 3;

/**
 * Creates a function that checks whether a job can be accepted without it or an already queued job missing its deadline.
 * Queued jobs are served round-robin, one task per turn. If no more jobs arrive, a job with `n` queued tasks completes
 * after every other job has had `n` turns or has run all of its tasks. If the queue persists, new jobs replace the
 * completed ones, so that every other job takes `n` turns.
 * @param options - The queues of this daemon and the known loads of its partners.
 */
export function createDeadlineCheck(options: DeadlineCheckOptions): (job: Job, pool: string, runTimeMs: number) => boolean {
	const {timers, queues, jobs, partners} = options;

	function meetsDeadlines(job: Job, pool: string, runTimeMs: number): boolean {
		const ownLoad = options.getOwnLoad(pool);
		const {slots, queuedTasks} = getPoolTotals(pool, ownLoad);
		if (slots === 0 || queuedTasks === 0) {
			return true;
		}

		const meanRunTimeMs = options.getMeanRunTimeMs(job.service);
		const waitMs = meanRunTimeMs * queuedTasks / slots;
		if (ownLoad.slots === 0 || waitMs + runTimeMs > job.deadlineMs) {
			return (remoteWaitFactor * waitMs) + runTimeMs <= job.deadlineMs;
		}

		const ownTasks = Math.ceil(job.tasks.length * ownLoad.slots / slots);
		const waiting = [
			{taskCount: ownTasks, remainingMs: job.deadlineMs - runTimeMs},
			...getWaiting(pool, meanRunTimeMs),
		];
		const turnMs = runTimeMarginFactor * meanRunTimeMs / ownLoad.slots;
		return allMeetDeadlines(waiting, turnMs, Math.min(1, queues.getWaitingTimeMs(pool) / persistentQueueMs));
	}

	function getPoolTotals(pool: string, ownLoad: PoolLoad): {slots: number; queuedTasks: number} {
		let {slots, queuedTasks} = ownLoad;
		for (const capacity of partners.getCapacities(pool, ownLoad)) {
			slots += capacity.slots;
			queuedTasks += Math.max(0, -capacity.room);
		}

		return {slots, queuedTasks};
	}

	function getWaiting(pool: string, meanRunTimeMs: number): WaitingJob[] {
		const nowMs = timers.getNowMs();
		return [...queues.getWaitingJobs(pool)].map(([key, taskCount]) => ({
			taskCount,
			remainingMs: (jobs.findJob(key)?.deadlineAtMs ?? Infinity) - nowMs - meanRunTimeMs,
		}));
	}

	return meetsDeadlines;
}

/** Whether all jobs meet their deadlines, ignoring jobs that would be late even without competing jobs. */
function allMeetDeadlines(waiting: readonly WaitingJob[], turnMs: number, persistence: number): boolean {
	const byTaskCount = waiting.toSorted((left, right) => left.taskCount - right.taskCount);
	let turnsOfShorter = 0;
	for (const [index, {taskCount, remainingMs}] of byTaskCount.entries()) {
		const turnsWithoutArrivals = turnsOfShorter + (taskCount * (byTaskCount.length - index));
		const turnsWithArrivals = taskCount * byTaskCount.length;
		const turns = turnsWithoutArrivals + (persistence * (turnsWithArrivals - turnsWithoutArrivals));
		if (turns * turnMs > remainingMs && taskCount * turnMs <= remainingMs) {
			return false;
		}

		turnsOfShorter += taskCount;
	}

	return true;
}
