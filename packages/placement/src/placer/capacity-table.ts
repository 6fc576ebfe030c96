import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import {chooseBackendServer, type Candidate} from '../queue/choose-backend-server.js';
import type {PooledServer} from './server-pool.js';

/** The free capacity of the backend servers of one service during one scheduling pass. */
export type CapacityTable = {
	/** Chooses a backend server for a task and reserves capacity on it; undefined if none has enough. */
	allocate(job: PlacedJob, task: PlacedTask): PooledServer | undefined;
	getTotalMillicores(): number;
	/** Gets the free CPU at the time when the table was created. */
	getFreeMillicores(): number;
	/** Gets the part of the free CPU, at the time when the table was created, that tasks of the given size can use. */
	getUsableFreeMillicores(taskMillicores: number): number;
};

type Row = Candidate & {
	server: PooledServer;
	serverId: string;
};

/**
 * Creates the table.
 * @param servers - The backend servers of the service that are claimed and ready.
 */
export function createCapacityTable(servers: readonly PooledServer[]): CapacityTable {
	const rows = servers.map(server => createRow(server));
	const freeMillicoresByRow = rows.map(row => row.freeCapacity.cpuMillicores);
	const freeMillicores = rows.reduce((sum, row) => sum + row.freeCapacity.cpuMillicores, 0);
	let largestFreeMillicores = getLargestFree();

	function getLargestFree(): number {
		let largest = 0;
		for (const {freeCapacity} of rows) {
			largest = Math.max(largest, freeCapacity.cpuMillicores);
		}

		return largest;
	}

	function getPermittedRows(job: PlacedJob, task: PlacedTask): Row[] {
		const {mostPerServer} = job.request.steps[task.step]!;
		const permitted = task.avoidedServerIds.size === 0 ? rows : rows.filter(row => !task.avoidedServerIds.has(row.serverId));
		if (mostPerServer !== undefined) {
			for (const row of permitted) {
				row.sameStepCount = countSameStep(row, job, task);
			}
		}

		return permitted;
	}

	return {
		allocate(job, task) {
			const {needs} = task;
			if (needs.cpuMillicores > largestFreeMillicores) {
				return undefined;
			}

			const {requiredLabel, dataRack, mostPerServer} = job.request.steps[task.step]!;
			const row = chooseBackendServer(getPermittedRows(job, task), {
				needs, requiredLabel, dataRack, mostPerServer,
			});
			if (row === undefined) {
				return undefined;
			}

			row.freeCapacity = {
				cpuMillicores: row.freeCapacity.cpuMillicores - needs.cpuMillicores,
				memoryMb: row.freeCapacity.memoryMb - needs.memoryMb,
				gpuCount: row.freeCapacity.gpuCount - needs.gpuCount,
			};
			largestFreeMillicores = getLargestFree();
			return row.server;
		},
		getTotalMillicores: () => servers.reduce((sum, {session}) => sum + session.getDescription().cpuMillicores, 0),
		getFreeMillicores: () => freeMillicores,
		getUsableFreeMillicores: taskMillicores => freeMillicoresByRow.reduce((sum, free) => sum + (Math.floor(free / taskMillicores) * taskMillicores), 0),
	};
}

function createRow(server: PooledServer): Row {
	const {session, health} = server;
	const {id, labels} = session.getDescription();
	return {
		server,
		serverId: id,
		freeCapacity: session.getFreeCapacity(),
		grade: health.getGrade(session.getRuns().size),
		labels,
		sameStepCount: 0,
	};
}

function countSameStep({server}: Row, job: PlacedJob, task: PlacedTask): number {
	return job.tasks.filter(other => other.step === task.step && server.session.findRun(other.name) !== undefined).length;
}
