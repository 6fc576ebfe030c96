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

/** A job of which tasks wait here, with the time that it has left for waiting. */
type WaitingJob = {taskCount: number; remainingMs: number};

/** Tasks are taken to run longer by this factor, since long tasks come late. */
const runTimeMargin = 1.4;
/** A queue that has lasted this long is taken to go on growing as fast as it is served. */
const lastingQueueMs = 10_000;
/** A daemon that manages no slots takes a job's last task to wait this many times as long as its first. */
const foreignWaitFactor = 3;

/**
 * Creates the check of whether a job can be taken without making itself or an earlier one late.
 * Waiting jobs are served in turn, one task each. If no more jobs come, a job with `n` waiting tasks ends when each
 * other one has had `n` turns or all that it needs. If the queue lasts, others take the place of those that end.
 * @param options - The queues here and what is known of the partners'.
 */
export function createDeadlineCheck(options: DeadlineCheckOptions): (job: Job, pool: string, runTimeMs: number) => boolean {
	const {timers, queues, jobs, partners} = options;

	function meetsDeadlines(job: Job, pool: string, runTimeMs: number): boolean {
		const ownLoad = options.getOwnLoad(pool);
		const {slots, queuedTasks} = getTotals(pool, ownLoad);
		if (slots === 0 || queuedTasks === 0) {
			return true;
		}

		const meanRunTimeMs = options.getMeanRunTimeMs(job.service);
		const waitMs = meanRunTimeMs * queuedTasks / slots;
		if (ownLoad.slots === 0 || waitMs + runTimeMs > job.deadlineMs) {
			return (foreignWaitFactor * waitMs) + runTimeMs <= job.deadlineMs;
		}

		const ownTasks = Math.ceil(job.tasks.length * ownLoad.slots / slots);
		const waiting = [
			{taskCount: ownTasks, remainingMs: job.deadlineMs - runTimeMs},
			...getWaiting(pool, meanRunTimeMs),
		];
		const turnMs = runTimeMargin * meanRunTimeMs / ownLoad.slots;
		return areInTime(waiting, turnMs, Math.min(1, queues.getWaitingTimeMs(pool) / lastingQueueMs));
	}

	function getTotals(pool: string, ownLoad: PoolLoad): {slots: number; queuedTasks: number} {
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

/** Whether all jobs end in time. One that would be late even if it were alone keeps no other one out. */
function areInTime(waiting: readonly WaitingJob[], turnMs: number, lasting: number): boolean {
	const byTaskCount = waiting.toSorted((left, right) => left.taskCount - right.taskCount);
	let turnsOfShorter = 0;
	for (const [index, {taskCount, remainingMs}] of byTaskCount.entries()) {
		const turnsIfLast = turnsOfShorter + (taskCount * (byTaskCount.length - index));
		const turnsIfLasting = taskCount * byTaskCount.length;
		const turns = turnsIfLast + (lasting * (turnsIfLasting - turnsIfLast));
		if (turns * turnMs > remainingMs && taskCount * turnMs <= remainingMs) {
			return false;
		}

		turnsOfShorter += taskCount;
	}

	return true;
}
