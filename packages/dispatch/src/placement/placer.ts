import type {EjectionTracker, QueuedTask} from '@camphortack/policy';
import type {MetricSink, TimerService} from '@camphortack/core';
import type {JobTable} from '../jobs/job-table.js';
import type {OpenTask} from '../jobs/open-job.js';
import type {TaskQueues} from '../queues/task-queues.js';
import type {BackendServerTable} from '../servers/backend-server-table.js';
import {
	addUsedResources, getFreeSlots, hasRoomFor, type BackendServerRecord,
} from '../servers/backend-server-record.js';
import type {TaskRunner} from '../tasks/task-runner.js';
import {groupBy} from '../utils/group-by.js';

export type PlacerOptions = {
	timers: TimerService;
	metrics: MetricSink;
	queues: TaskQueues;
	jobs: JobTable;
	table: BackendServerTable;
	runner: Pick<TaskRunner, 'startTasks'>;
	ejection: EjectionTracker;
	/** Whether this daemon may start tasks on a backend server now. */
	mayUse: (server: BackendServerRecord) => boolean;
};

/** Assigns queued tasks to free slots. */
export type Placer = {
	/** Starts the queued tasks of a pool for which slots are free. */
	placePool(pool: string): void;
	placeAll(): void;
};

/**
 * Creates the placer. A task is assigned to a backend server only when a slot is free for it.
 * @param options - The queues, the backend servers and the task runner.
 */
export function createPlacer(options: PlacerOptions): Placer {
	const {timers, metrics, queues, jobs, table, ejection} = options;
	const poolsInPlacement = new Set<string>();

	/** Guards against reentrancy: filling a backend server reports its remaining slots, which triggers placement again. */
	function placePool(pool: string): void {
		if (queues.getTaskCount(pool) === 0 || poolsInPlacement.has(pool)) {
			return;
		}

		poolsInPlacement.add(pool);
		try {
			fillServers(pool);
		} finally {
			poolsInPlacement.delete(pool);
		}
	}

	function fillServers(pool: string): void {
		for (const server of [...table.getAvailable(pool)].values()) {
			fillServer(server, pool);
			if (queues.getTaskCount(pool) === 0) {
				return;
			}
		}
	}

	function fillServer(server: BackendServerRecord, pool: string): void {
		const isTrialRunning = table.isSuspect(server) && server.busySlots > 0;
		if (isTrialRunning || !options.mayUse(server) || !ejection.mayStart(server.id)) {
			return;
		}

		const isTrial = ejection.isEjected(server.id) || table.isSuspect(server);
		const tasks = takeTasks(server, pool, isTrial ? 1 : getFreeSlots(server));
		if (tasks.length === 0) {
			return;
		}

		for (const [job, jobTasks] of groupBy(tasks, task => task.job)) {
			options.runner.startTasks(server, job, jobTasks);
		}

		table.refresh(server);
		table.rotate(server);
	}

	function takeTasks(server: BackendServerRecord, pool: string, count: number): OpenTask[] {
		const {services} = server.announcement;
		const fits = (task: QueuedTask) => services.includes(task.service) && hasRoomFor(server, task.needs);
		const tasks: OpenTask[] = [];
		while (tasks.length < count) {
			const queued = queues.takeTask(pool, fits);
			if (queued === undefined) {
				break;
			}

			const task = jobs.findJob(queued.jobId)?.tasks[queued.index];
			if (task !== undefined) {
				metrics.addTiming('task-queue-time', timers.getNowMs() - queued.enqueuedAtMs);
				addUsedResources(server, task.needs, 1);
				tasks.push(task);
			}
		}

		return tasks;
	}

	return {
		placePool,
		placeAll() {
			for (const pool of queues.getWaitingPools()) {
				placePool(pool);
			}
		},
	};
}
