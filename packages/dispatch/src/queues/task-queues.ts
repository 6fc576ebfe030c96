import type {ServiceObject} from '@camphortack/configuration';
import type {TimerService} from '@camphortack/core';
import {createFairQueue, type FairQueue, type QueuedTask} from '@camphortack/policy';
import type {OpenTask} from '../jobs/open-job.js';

type QueueTotals = {tasks: number; bytes: number};

/** The task queues of all pools, bounded by the queue sizes that services declare. */
export type TaskQueues = {
	/** Adds all of the given tasks of one job, or none. */
	addTasks(tasks: readonly OpenTask[], service: ServiceObject): 'added' | 'queue-full';
	/** Puts a task that was taken but not run back at the front of its queue. */
	returnTask(task: OpenTask): void;
	/** Takes the next fitting task of a pool. */
	takeTask(pool: string, fits: (task: QueuedTask) => boolean): QueuedTask | undefined;
	/** Removes the queued tasks of a job. */
	removeJob(pool: string, jobKey: string): QueuedTask[];
	getTaskCount(pool: string): number;
	getTotals(): Readonly<QueueTotals>;
	/** Gets the number of queued tasks of each job of a pool. */
	getWaitingJobs(pool: string): ReadonlyMap<string, number>;
	/** Gets how long the queue of a pool has been continuously non-empty. */
	getWaitingTimeMs(pool: string): number;
	/** Gets the pools with queued tasks. */
	getWaitingPools(): string[];
};

/**
 * Creates the task queues.
 * @param timers - The clock.
 * @param getWeight - Gets the weight of a customer relative to the other customers.
 */
export function createTaskQueues(timers: TimerService, getWeight: (customer: string) => number): TaskQueues {
	const queues = new Map<string, FairQueue>();
	const waitingJobs = new Map<string, Map<string, number>>();
	const waitingSinceMs = new Map<string, number>();
	const emptyJobs: ReadonlyMap<string, number> = new Map();
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

	function updateTotals(task: QueuedTask, sign: 1 | -1): void {
		for (const counted of [totals, getServiceTotals(task.service)]) {
			counted.tasks += sign;
			counted.bytes += sign * task.sizeBytes;
		}

		updateWaitingJobs(task, sign);
	}

	function updateWaitingJobs({pool, jobId}: QueuedTask, sign: 1 | -1): void {
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
			updateTotals(task.queued, 1);
		}

		return 'added';
	}

	function returnTask(task: OpenTask): void {
		getQueue(task.queued.pool).returnTask(task.queued);
		updateTotals(task.queued, 1);
	}

	function takeTask(pool: string, fits: (task: QueuedTask) => boolean): QueuedTask | undefined {
		const task = queues.get(pool)?.takeTask(fits);
		if (task !== undefined) {
			updateTotals(task, -1);
		}

		return task;
	}

	function removeJob(pool: string, jobKey: string): QueuedTask[] {
		const removed = queues.get(pool)?.removeJob(jobKey) ?? [];
		for (const task of removed) {
			updateTotals(task, -1);
		}

		return removed;
	}

	return {
		addTasks,
		returnTask,
		takeTask,
		removeJob,
		getTaskCount: pool => queues.get(pool)?.getTaskCount() ?? 0,
		getWaitingJobs: pool => waitingJobs.get(pool) ?? emptyJobs,
		getWaitingTimeMs: pool => timers.getNowMs() - (waitingSinceMs.get(pool) ?? timers.getNowMs()),
		getTotals: () => totals,
		getWaitingPools: () => [...queues].filter(([, queue]) => queue.getTaskCount() > 0).map(([pool]) => pool),
	};
}
