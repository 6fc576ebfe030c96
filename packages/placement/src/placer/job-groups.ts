import type {TimerService} from '@camphortack/core';
import type {QueueQuarantine} from '../crashes/queue-quarantine.js';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import {createCapacityTable, type CapacityTable} from './capacity-table.js';
import type {MovedRuns} from './moved-runs.js';
import type {RunExpectations} from './run-expectations.js';
import type {PooledServer} from './server-pool.js';
import {getWaitingMillicores, type JobGroup, type WaitingEntry} from './waiting-jobs.js';

/** Divides the jobs into groups that share backend servers, and sums up the free capacity of each. */
export type JobGroups = {
	getGroup(job: PlacedJob): JobGroup;
	/** Creates a table for each group of the waiting jobs. */
	createTables(waiting: readonly WaitingEntry[]): Map<string, CapacityTable>;
	/** Creates the table of the jobs of a service that are not in quarantine. */
	createSharedTable(service: string, waiting: readonly WaitingEntry[]): CapacityTable;
};

export type JobGroupsOptions = Pick<RunExpectations, 'findExpectedEndMs'> & {
	timers: TimerService;
	quarantine: QueueQuarantine;
	movedRuns: MovedRuns;
	remoteRunFactor: number | undefined;
	getUsableServers: (service: string) => PooledServer[];
	/** Gets the backend servers on which a task must not start now. */
	getAvoidedServerIds: (job: PlacedJob, task: PlacedTask) => ReadonlySet<string>;
};

/** No queue has this name. */
const noQueueName = '';

/**
 * Creates the groups: one for each service, and one for each queue in quarantine.
 * @param options - The quarantine and the backend servers.
 */
export function createJobGroups(options: JobGroupsOptions): JobGroups {
	const {timers, quarantine, movedRuns, remoteRunFactor, findExpectedEndMs, getUsableServers, getAvoidedServerIds} = options;

	function getGroup({request: {service, queueName}}: PlacedJob): JobGroup {
		const isQuarantined = quarantine.isQuarantined(queueName);
		return {key: isQuarantined ? `${service} ${queueName}` : service, isQuarantined};
	}

	function createTable(service: string, queueName: string, groupKey: string, waiting: readonly WaitingEntry[]): CapacityTable {
		return createCapacityTable(getUsableServers(service).filter(server => quarantine.mayUse(queueName, server)), {
			nowMs: timers.getNowMs(),
			remoteRunFactor,
			waitingMillicores: getWaitingMillicores(waiting, job => getGroup(job).key === groupKey),
			getAvoidedServerIds,
			findExpectedEndMs,
		});
	}

	function createSharedTable(service: string, waiting: readonly WaitingEntry[]): CapacityTable {
		const table = createTable(service, noQueueName, service, waiting);
		movedRuns.reserveCapacity(service, table);
		return table;
	}

	return {
		getGroup,
		createTables(waiting) {
			const tables = new Map<string, CapacityTable>();
			for (const {job} of waiting) {
				const {key, isQuarantined} = getGroup(job);
				const {service, queueName} = job.request;
				if (!tables.has(key)) {
					tables.set(key, isQuarantined ? createTable(service, queueName, key, waiting) : createSharedTable(service, waiting));
				}
			}

			return tables;
		},
		createSharedTable,
	};
}
