import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import {chooseBackendServer, type Candidate} from '../queue/choose-backend-server.js';
import type {PooledServer} from './server-pool.js';

/** The free room of the backend servers of one service during one pass over the waiting jobs. */
export type RoomTable = {
	/** Chooses the backend server for a task and takes the room there; undefined if none has room. */
	takeRoom(job: PlacedJob, task: PlacedTask): PooledServer | undefined;
	getUsableMillicores(): number;
	/** Gets the free cores as they were when the table was made. */
	getFreeMillicores(): number;
};

type Row = Candidate & {
	server: PooledServer;
	serverId: string;
};

/**
 * Creates the table.
 * @param servers - The backend servers that are held, ready and of the service.
 */
export function createRoomTable(servers: readonly PooledServer[]): RoomTable {
	const rows = servers.map(server => createRow(server));
	const freeMillicores = rows.reduce((sum, row) => sum + row.freeRoom.cpuMillicores, 0);
	let largestFreeMillicores = getLargestFree();

	function getLargestFree(): number {
		let largest = 0;
		for (const {freeRoom} of rows) {
			largest = Math.max(largest, freeRoom.cpuMillicores);
		}

		return largest;
	}

	function getPossibleRows(job: PlacedJob, task: PlacedTask): Row[] {
		const {mostPerServer} = job.request.steps[task.step]!;
		const possible = task.avoidedServerIds.size === 0 ? rows : rows.filter(row => !task.avoidedServerIds.has(row.serverId));
		if (mostPerServer !== undefined) {
			for (const row of possible) {
				row.sameStepCount = countSameStep(row, job, task);
			}
		}

		return possible;
	}

	return {
		takeRoom(job, task) {
			const {needs} = task;
			if (needs.cpuMillicores > largestFreeMillicores) {
				return undefined;
			}

			const {requiredLabel, dataRack, mostPerServer} = job.request.steps[task.step]!;
			const row = chooseBackendServer(getPossibleRows(job, task), {
				needs, requiredLabel, dataRack, mostPerServer,
			});
			if (row === undefined) {
				return undefined;
			}

			row.freeRoom = {
				cpuMillicores: row.freeRoom.cpuMillicores - needs.cpuMillicores,
				memoryMb: row.freeRoom.memoryMb - needs.memoryMb,
				gpuCount: row.freeRoom.gpuCount - needs.gpuCount,
			};
			largestFreeMillicores = getLargestFree();
			return row.server;
		},
		getUsableMillicores: () => servers.reduce((sum, {session}) => sum + session.getDescription().cpuMillicores, 0),
		getFreeMillicores: () => freeMillicores,
	};
}

function createRow(server: PooledServer): Row {
	const {session, health} = server;
	const {id, labels} = session.getDescription();
	return {
		server,
		serverId: id,
		freeRoom: session.getFreeRoom(),
		grade: health.getGrade(session.getRuns().size),
		labels,
		sameStepCount: 0,
	};
}

function countSameStep({server}: Row, job: PlacedJob, task: PlacedTask): number {
	return job.tasks.filter(other => other.step === task.step && server.session.findRun(other.name) !== undefined).length;
}
