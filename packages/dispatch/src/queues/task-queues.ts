import type {ServiceObject} from '@camphortack/configuration';
import type {TimerService} from '@camphortack/core';
import {createFairQueue, type FairQueue, type QueuedTask} from '@camphortack/policy';
import type {OpenTask} from '../jobs/open-job.js';

type QueueTotals = {tasks: number; bytes: number};

/** The queues of all pools, with the bounds that services declare. */
export type TaskQueues = {
	/** Adds tasks of one job, all or none. */
	addTasks(tasks: readonly OpenTask[], service: ServiceObject): 'added' | 'queue-full';
	/** Puts back, at the front, a task that was taken and did not start. */
	returnTask(task: OpenTask): void;
	/** Takes the next task of a pool. */
	takeTask(pool: string, fits: (task: QueuedTask) => boolean): QueuedTask | undefined;
	/** Removes what waits of a job. */
	removeJob(pool: string, jobKey: string): QueuedTask[];
	getTaskCount(pool: string): number;
	getTotals(): Readonly<QueueTotals>;
	/** Gets the jobs of a pool of which tasks wait, with how many. */
	getWaitingJobs(pool: string): ReadonlyMap<string, number>;
	/** Gets for how long some task has been waiting without a break. */
	getWaitingTimeMs(pool: string): number;
	/** Gets the pools for which a task waits. */
	getWaitingPools(): string[];
};

/**
 * Creates the queues.
 * @param timers - The source of time.
 * @param getWeight - Gets a customer's share, relative to the other customers.
 */
export function createTaskQueues(timers: TimerService, getWeight: (customer: string) => number): TaskQueues {
	const queues = new Map<string, FairQueue>();
	const waitingJobs = new Map<string, Map<string, number>>();
	const waitingSinceMs = new Map<string, number>();
	const noJobs: ReadonlyMap<string, number> = new Map();
	const totalsByService = new Map<string, QueueTotals>();
	const totals: QueueTotals = {tasks: 0, bytes: 0};

	function getQueue(pool: string): FairQueue {
		let queue = queues.get(pool);
		if (queue === undefined) {
			queue = createFairQueue({maxTasks: Infinity, maxBytes: Infinity, getWeight});
			queues.set(pool, queue);
		}

		return queue;
	}

	function getServiceTotals(service: string): QueueTotals {
		let serviceTotals = totalsByService.get(service);
		if (serviceTotals === undefined) {
			serviceTotals = {tasks: 0, bytes: 0};
			totalsByService.set(service, serviceTotals);
		}

		return serviceTotals;
	}

	function count(task: QueuedTask, sign: 1 | -1): void {
		for (const counted of [totals, getServiceTotals(task.service)]) {
			counted.tasks += sign;
			counted.bytes += sign * task.sizeBytes;
		}

		countJob(task, sign);
	}

	function countJob({pool, jobId}: QueuedTask, sign: 1 | -1): void {
		const jobs = waitingJobs.get(pool) ?? new Map<string, number>();
		const tasks = (jobs.get(jobId) ?? 0) + sign;
		if (tasks > 0) {
			jobs.set(jobId, tasks);
		} else {
			jobs.delete(jobId);
		}

		waitingJobs.set(pool, jobs);
		if (jobs.size === 0) {
			waitingSinceMs.delete(pool);
		} else if (!waitingSinceMs.has(pool)) {
			waitingSinceMs.set(pool, timers.getNowMs());
		}
	}

	function addTasks(tasks: readonly OpenTask[], service: ServiceObject): 'added' | 'queue-full' {
		const [first] = tasks;
		if (first === undefined) {
			return 'added';
		}

		const {tasks: queuedTasks, bytes: queuedBytes} = getServiceTotals(first.queued.service);
		let addedBytes = 0;
		for (const task of tasks) {
			addedBytes += task.queued.sizeBytes;
		}

		if (queuedTasks + tasks.length > service.mostQueuedTasks || queuedBytes + addedBytes > service.mostQueuedBytes) {
			return 'queue-full';
		}

		getQueue(first.queued.pool).addTasks(tasks.map(task => task.queued));
		for (const task of tasks) {
			count(task.queued, 1);
		}

		return 'added';
	}

	function returnTask(task: OpenTask): void {
		getQueue(task.queued.pool).returnTask(task.queued);
		count(task.queued, 1);
	}

	function takeTask(pool: string, fits: (task: QueuedTask) => boolean): QueuedTask | undefined {
		const task = queues.get(pool)?.takeTask(fits);
		if (task !== undefined) {
			count(task, -1);
		}

		return task;
	}

	function removeJob(pool: string, jobKey: string): QueuedTask[] {
		const removed = queues.get(pool)?.removeJob(jobKey) ?? [];
		for (const task of removed) {
			count(task, -1);
		}

		return removed;
	}

	return {
		addTasks,
		returnTask,
		takeTask,
		removeJob,
		getTaskCount: pool => queues.get(pool)?.getTaskCount() ?? 0,
		getWaitingJobs: pool => waitingJobs.get(pool) ?? noJobs,
		getWaitingTimeMs: pool => timers.getNowMs() - (waitingSinceMs.get(pool) ?? timers.getNowMs()),
		getTotals: () => totals,
		getWaitingPools: () => [...queues].filter(([, queue]) => queue.getTaskCount() > 0).map(([pool]) => pool),
	};
}
