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
};

/** Finds the daemons that can run tasks which no backend server of this one can. */
export type TaskRouter = {
	/**
	 * Hands over the tasks of a job that fit only backend servers which other daemons of the zone manage.
	 * @returns The other tasks.
	 */
	route(job: OpenJob): OpenTask[];
	/** Whether some backend server of the zone is large enough for a task. */
	fitsInZone(pool: string, service: string, needs: TaskNeeds): boolean;
};

/**
 * Creates the task router.
 * @param options - The parts that it works on.
 */
export function createTaskRouter({ownId, table, sender}: TaskRouterOptions): TaskRouter {
	/** Finds a manager of a backend server that fits, this daemon if it is one; undefined if nothing fits. */
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
