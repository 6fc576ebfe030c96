import type {Job, TimerService} from '@camphortack/core';
import type {JobBook} from '../jobs/job-book.js';
import type {PoolLoad} from '../messages/dispatch-messages.js';
import type {PartnerTable} from '../peers/partner-table.js';
import type {QueueBook} from '../queues/queue-book.js';

export type DeadlineCheckOptions = {
	timers: TimerService;
	queues: QueueBook;
	jobs: JobBook;
	partners: PartnerTable;
	getOwnLoad: (pool: string) => PoolLoad;
	/** Gets the expected run time of a service's tasks. */
	getMeanRunTimeMs: (service: string) => number;
};

/** Rounds are taken to last longer by this factor, since long tasks come late. */
const turnMargin = 1.4;

/**
 * Creates the check of whether a job can be taken without making itself or an earlier one late.
 * Waiting jobs are served in turn, one task each, so that a job with `n` waiting tasks takes `n` rounds
 * of as many tasks as there are jobs.
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
		if (waitMs + runTimeMs > job.deadlineMs) {
			return false;
		}

		const waiting = queues.getWaitingJobs(pool);
		const roundMs = turnMargin * meanRunTimeMs * (waiting.size + 1) / Math.max(1, ownLoad.slots);
		const ownTasks = Math.ceil(job.tasks.length * ownLoad.slots / slots);
		return (ownTasks * roundMs) + runTimeMs <= job.deadlineMs && leavesOthersInTime(waiting, roundMs, meanRunTimeMs);
	}

	function getTotals(pool: string, ownLoad: PoolLoad): {slots: number; queuedTasks: number} {
		let {slots, queuedTasks} = ownLoad;
		for (const capacity of partners.getCapacities(pool, ownLoad)) {
			slots += capacity.slots;
			queuedTasks += Math.max(0, -capacity.room);
		}

		return {slots, queuedTasks};
	}

	/** A job that would be late even if it were alone keeps no other one out. */
	function leavesOthersInTime(waiting: ReadonlyMap<string, number>, roundMs: number, meanRunTimeMs: number): boolean {
		const nowMs = timers.getNowMs();
		for (const [key, taskCount] of waiting) {
			const remainingMs = (jobs.findJob(key)?.deadlineAtMs ?? Infinity) - nowMs - meanRunTimeMs;
			const aloneMs = taskCount * roundMs / (waiting.size + 1);
			if (taskCount * roundMs > remainingMs && aloneMs <= remainingMs) {
				return false;
			}
		}

		return true;
	}

	return meetsDeadlines;
}
