import type {MetricSink, TaskNeeds} from '@camphortack/core';
import type {JobTable} from '../jobs/job-table.js';
import type {OpenJob, OpenTask} from '../jobs/open-job.js';
import type {PartSender} from '../handover/part-sender.js';
import type {PoolLoad} from '../messages/dispatch-messages.js';
import type {PartnerTable} from '../peers/partner-table.js';
import type {TaskQueues} from '../queues/task-queues.js';
import {groupBy} from '../utils/group-by.js';
import {getShares} from './get-shares.js';

export type BalancerOptions = {
	ownId: string;
	metrics: MetricSink;
	queues: TaskQueues;
	jobs: JobTable;
	partners: PartnerTable;
	sender: PartSender;
	getOwnLoad: (pool: string) => PoolLoad;
	/** Whether any backend server of the zone is large enough for a task, so that the task router has already routed it. */
	fitsInZone: (pool: string, service: string, needs: TaskNeeds) => boolean;
	/** Whether no task may start in the availability zone of this daemon. */
	isOwnZoneClosed: () => boolean;
};

/** Hands queued tasks over to daemons that can start them sooner. */
export type Balancer = {
	balance(pool: string): void;
	balanceAll(): void;
};

/** The maximum number of times that a task is handed over. */
export const maxHandovers = 2;
/** The same for tasks that wait in a closed availability zone; the limit of the message. They never go to a closed zone. */
export const maxHandoversFromClosedZone = 8;
/** The room of a partner is reduced by this ratio of its slots, because it may have shrunk since it was reported. */
const roomMarginRatio = 0.04;

export function createBalancer(options: BalancerOptions): Balancer {
	const {ownId, metrics, queues, jobs, partners, sender} = options;

	function balance(pool: string): void {
		const queuedTasks = queues.getTaskCount(pool);
		if (queuedTasks === 0) {
			return;
		}

		const ownLoad = options.getOwnLoad(pool);
		const capacities = partners.getCapacities(pool, ownLoad)
			.map(capacity => ({...capacity, room: capacity.room - (roomMarginRatio * capacity.slots)}));
		const shares = getShares(queuedTasks, [{id: ownId, slots: ownLoad.slots, room: 0}, ...capacities]);
		for (const [index, {id}] of capacities.entries()) {
			const share = shares[index + 1] ?? 0;
			if (share > 0 && !handOver(id, pool, share, ownLoad)) {
				return;
			}
		}
	}

	/** Hands over up to `count` tasks; returns false if no further task can be handed over. */
	function handOver(peerId: string, pool: string, count: number, ownLoad: PoolLoad): boolean {
		const {tasks, isExhausted} = takeTasks(pool, count, ownLoad);
		for (const [job, jobTasks] of groupBy(tasks, task => task.job)) {
			if (sender.sendPart(peerId, job, jobTasks)) {
				partners.recordHandover(peerId, pool, jobTasks.length);
				countDiverted(jobTasks.length);
			} else {
				returnTasks(jobTasks);
			}
		}

		return !isExhausted;
	}

	function countDiverted(taskCount: number): void {
		if (options.isOwnZoneClosed()) {
			metrics.increment('task-diverted', taskCount);
		}
	}

	/** Takes tasks to hand over. Tasks with needs stay where the task router put them if this daemon manages slots. */
	function takeTasks(pool: string, count: number, ownLoad: PoolLoad): {tasks: OpenTask[]; isExhausted: boolean} {
		const tasks: OpenTask[] = [];
		while (tasks.length < count) {
			const queued = queues.takeTask(pool, ({service, needs}) =>
				needs === undefined || ownLoad.slots === 0 || !options.fitsInZone(pool, service, needs));
			const task = queued === undefined ? undefined : jobs.findJob(queued.jobId)?.tasks[queued.index];
			if (task === undefined) {
				return {tasks, isExhausted: true};
			}

			if (!canBeHandedOver(task.job, options.isOwnZoneClosed())) {
				queues.returnTask(task);
				return {tasks, isExhausted: true};
			}

			tasks.push(task);
		}

		return {tasks, isExhausted: false};
	}

	function returnTasks(tasks: readonly OpenTask[]): void {
		for (const task of tasks.toReversed()) {
			queues.returnTask(task);
		}
	}

	return {
		balance,
		balanceAll() {
			for (const pool of queues.getWaitingPools()) {
				balance(pool);
			}
		},
	};
}

function canBeHandedOver(job: OpenJob, isOwnZoneClosed: boolean): boolean {
	return job.handovers < (isOwnZoneClosed ? maxHandoversFromClosedZone : maxHandovers);
}
