import type {TaskNeeds} from '@camphortack/core';
import {fitsInto} from '../configuration/placement-rules.js';
import type {PartSender} from '../handover/part-sender.js';
import type {OpenJob, OpenTask} from '../jobs/open-job.js';
import type {BackendServerTable} from '../servers/backend-server-table.js';
import {groupBy} from '../utils/group-by.js';
import {maxHandovers} from './balancer.js';

export type TaskRouterOptions = {
	ownId: string;
	table: BackendServerTable;
	sender: PartSender;
	/** Whether no task may start in the availability zone, so that its daemons would refuse all tasks. */
	isOwnZoneClosed: () => boolean;
};

/** Routes tasks that fit none of the backend servers of this daemon to daemons that can run them. */
export type TaskRouter = {
	/**
	 * Hands over the tasks of a job that fit only backend servers managed by other daemons of the availability zone.
	 * @returns The tasks that remain on this daemon.
	 */
	route(job: OpenJob): OpenTask[];
	/** Whether any backend server of the availability zone is large enough for a task. */
	fitsInZone(pool: string, service: string, needs: TaskNeeds): boolean;
};

export function createTaskRouter({ownId, table, sender, isOwnZoneClosed}: TaskRouterOptions): TaskRouter {
	/** Finds the manager of a fitting backend server, preferably this daemon; undefined if no backend server fits. */
	function findManagerId(pool: string, service: string, needs: TaskNeeds): string | undefined {
		let managerId: string | undefined;
		for (const {announcement, isLeaving, pools, managerId: otherId} of table.getAll()) {
			const isServing = !isLeaving && pools.includes(pool) && announcement.services.includes(service);
			if (isServing && fitsInto(needs, announcement)) {
				managerId = otherId;
				if (managerId === ownId) {
					break;
				}
			}
		}

		return managerId;
	}

	function route(job: OpenJob): OpenTask[] {
		if (isOwnZoneClosed()) {
			return job.tasks;
		}

		const kept: OpenTask[] = [];
		for (const tasks of groupBy(job.tasks, task => JSON.stringify(task.needs)).values()) {
			const managerId = findManagerId(job.pool, job.service, tasks[0]!.needs ?? {}) ?? ownId;
			const isRouted = managerId !== ownId && managerId !== '' && job.handovers < maxHandovers;
			if (!isRouted || !sender.sendPart(managerId, job, tasks)) {
				kept.push(...tasks);
			}
		}

		return kept;
	}

	return {
		route,
		fitsInZone: (pool, service, needs) => findManagerId(pool, service, needs) !== undefined,
	};
}
