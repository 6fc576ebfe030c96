import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import {choosePlacement, type PlacementChoice} from '../queue/choose-placement.js';
import type {RackLoad} from '../queue/create-distance-estimator.js';
import {addCapacityChange} from '../queue/find-free-time.js';
import type {
	CapacityChange, PlacementCandidate, PlacementCandidates, PlacementContext, PlacementTask,
} from '../queue/placement-candidate.js';
import {getDistanceFactor} from '../queue/get-distance-factor.js';
import type {BackendServerDescription} from '../servers/backend-server-description.js';
import type {BackendSession} from '../sessions/backend-session.js';
import type {Run} from '../sessions/run.js';
import type {PooledServer} from './server-pool.js';

/** What a task gets in a scheduling pass. */
export type Allocation
	= {outcome: 'server'; server: PooledServer; isFar: boolean}
		/** A place near its data is expected to become free; the task should be offered again then. */
		| {outcome: 'wait'; untilMs: number}
		/** Only places far from its data are free, which are given out after all other tasks were offered near places. */
		| {outcome: 'deferred'}
		| {outcome: 'none'};

/** The free capacity of the backend servers of one service during one scheduling pass. */
export type CapacityTable = {
	readonly remoteRunFactor: number | undefined;
	/** How much far runs delay other work, from 0 to 1. */
	readonly contention: number;
	/** Chooses a backend server for a task and reserves capacity on it, or a time until which the task waits for one near its data. */
	allocate(job: PlacedJob, task: PlacedTask): Allocation;
	/** Reserves capacity for a task that cannot start yet, on the free backend server that suits it best now. */
	reserve(job: PlacedJob, task: PlacedTask): void;
	/** Gets the backend servers with the capacity that is not reserved. */
	getCandidates(): readonly PlacementCandidate[];
	/** Whether some backend server has the CPU that a task needs. */
	hasRoom(task: PlacedTask): boolean;
	/** Gives out no more capacity of a backend server. */
	excludeServer(serverId: string): void;
	/** Gives out far places from now on. */
	permitFarRuns(): void;
	getTotalMillicores(): number;
	/** Gets the free CPU at the time when the table was created. */
	getFreeMillicores(): number;
	/** Gets the load on the backend servers of a rack when the table was created. */
	getRackLoad(rack: string): RackLoad;
};

export type CapacityTableOptions = {
	nowMs: number;
	/** The factor by which tasks run longer far from their data. Without it no task waits, and no far place is deferred. */
	remoteRunFactor?: number | undefined;
	/** The CPU that all waiting tasks need. */
	waitingMillicores: number;
	/** Gets the speed of a backend server, 1 if it is nominal. */
	getSpeed?: (description: BackendServerDescription) => number;
	/** Gets the backend servers on which a task must not start now; those that it avoids by itself if this is not given. */
	getAvoidedServerIds?: (job: PlacedJob, task: PlacedTask) => ReadonlySet<string>;
	/** Gets the time at which a run is expected to end; undefined if nothing is known of its task. */
	findExpectedEndMs: (run: Run, session: BackendSession) => number | undefined;
};

type Row = PlacementCandidate & {
	server: PooledServer;
	expectedChanges: CapacityChange[];
	hasExpectedChanges: boolean;
};

/**
 * Shares of all cores that are free beyond what the waiting tasks need. At the first, work that arrives during a far run
 * is likely to need its capacity; at the second, it surely does.
 */
const contentionStartShare = 0.3;
const fullContentionShare = 0.1;

/**
 * Creates the table.
 * @param servers - The backend servers of the service that are claimed and ready.
 * @param options - The time, the distance factor and the expected ends of runs.
 */
export function createCapacityTable(servers: readonly PooledServer[], options: CapacityTableOptions): CapacityTable {
	const {nowMs, remoteRunFactor} = options;
	const rows = servers.map(server => createRow(server, options));
	const rowsByRack = new Map<string, PlacementCandidates<Row>>();
	const rowsWithoutRack: PlacementCandidates<Row> = {near: rows, far: []};
	const freeMillicores = rows.reduce((sum, row) => sum + row.freeCapacity.cpuMillicores, 0);
	const totalMillicores = servers.reduce((sum, {session}) => sum + session.getDescription().cpuMillicores, 0);
	const context: PlacementContext = {
		nowMs,
		remoteRunFactor,
		contention: remoteRunFactor === undefined ? 0 : getContention((freeMillicores - options.waitingMillicores) / totalMillicores),
	};
	let areFarRunsPermitted = remoteRunFactor === undefined;
	let largestFreeMillicores = getLargestFree();

	function getLargestFree(): number {
		let largest = 0;
		for (const {freeCapacity} of rows) {
			largest = Math.max(largest, freeCapacity.cpuMillicores);
		}

		return largest;
	}

	function getCandidates(dataRack: string | undefined): PlacementCandidates<Row> {
		if (dataRack === undefined) {
			return rowsWithoutRack;
		}

		const known = rowsByRack.get(dataRack);
		if (known !== undefined) {
			return known;
		}

		const near = rows.filter(row => row.labels.includes(dataRack));
		const far = rows.filter(row => !row.labels.includes(dataRack));
		if (remoteRunFactor !== undefined) {
			for (const row of near) {
				addExpectedEnds(row);
			}
		}

		rowsByRack.set(dataRack, {near, far});
		return {near, far};
	}

	function addExpectedEnds(row: Row): void {
		for (const run of row.server.session.getRuns().values()) {
			const atMs = row.hasExpectedChanges || run.needs === undefined ? undefined : options.findExpectedEndMs(run, row.server.session);
			if (atMs !== undefined) {
				addCapacityChange(row.expectedChanges, {atMs, ...run.needs!});
			}
		}

		row.hasExpectedChanges = true;
	}

	function choose(job: PlacedJob, task: PlacedTask): PlacementChoice<Row> {
		const {requiredLabel, dataRack, mostPerServer} = job.request.steps[task.step]!;
		const candidates = getCandidates(dataRack);
		const canStartNow = task.needs.cpuMillicores <= largestFreeMillicores;
		if (!canStartNow && (remoteRunFactor === undefined || dataRack === undefined)) {
			return {outcome: 'none'};
		}

		if (mostPerServer !== undefined) {
			for (const row of rows) {
				row.sameStepCount = countSameStep(row, job, task);
			}
		}

		return choosePlacement(canStartNow ? candidates : {near: candidates.near, far: []}, getPlacementTask(job, task, requiredLabel, mostPerServer), context);
	}

	function getPlacementTask(job: PlacedJob, task: PlacedTask, requiredLabel: string | undefined, mostPerServer: number | undefined): PlacementTask {
		return {
			needs: task.needs,
			requiredLabel,
			mostPerServer,
			avoidedServerIds: options.getAvoidedServerIds?.(job, task) ?? task.avoidedServerIds,
			runMs: task.expectedMs,
			latestEndMs: job.arrivedAtMs + job.objectiveMs - task.followingMs,
			waitedMs: task.nearWaitSinceMs === undefined ? 0 : nowMs - task.nearWaitSinceMs,
		};
	}

	/** Reserves capacity from now on. */
	function reserveOn(row: Row, {needs, expectedMs}: PlacedTask, distanceFactor: number): void {
		row.freeCapacity = {
			cpuMillicores: row.freeCapacity.cpuMillicores - needs.cpuMillicores,
			memoryMb: row.freeCapacity.memoryMb - needs.memoryMb,
			gpuCount: row.freeCapacity.gpuCount - needs.gpuCount,
		};
		if (remoteRunFactor !== undefined) {
			addCapacityChange(row.expectedChanges, {atMs: nowMs + (expectedMs * distanceFactor / row.speed), ...needs});
		}

		largestFreeMillicores = getLargestFree();
	}

	/** Promises capacity from a later time on, so that the tasks asked for next expect to wait behind this one. */
	function promise(row: Row, {needs, expectedMs}: PlacedTask, fromMs: number): void {
		addCapacityChange(row.expectedChanges, {
			atMs: fromMs, cpuMillicores: -needs.cpuMillicores, memoryMb: -needs.memoryMb, gpuCount: -needs.gpuCount,
		});
		addCapacityChange(row.expectedChanges, {atMs: fromMs + (expectedMs / row.speed), ...needs});
	}

	return {
		remoteRunFactor,
		contention: context.contention,
		allocate(job, task) {
			const choice = choose(job, task);
			switch (choice.outcome) {
				case 'place': {
					if (choice.isFar && !areFarRunsPermitted) {
						return {outcome: 'deferred'};
					}

					const {labels, server} = choice.candidate;
					reserveOn(choice.candidate, task, getDistanceFactor(job.request.steps[task.step]!.dataRack, labels, remoteRunFactor));
					return {outcome: 'server', server, isFar: choice.isFar};
				}

				case 'wait': {
					promise(choice.candidate, task, choice.untilMs);
					return {outcome: 'wait', untilMs: choice.untilMs};
				}

				case 'none': {
					return choice;
				}
			}
		},
		reserve(job, task) {
			const choice = choose(job, task);
			if (choice.outcome === 'place') {
				reserveOn(choice.candidate, task, getDistanceFactor(job.request.steps[task.step]!.dataRack, choice.candidate.labels, remoteRunFactor));
			}
		},
		getCandidates: () => rows,
		hasRoom: ({needs}) => needs.cpuMillicores <= largestFreeMillicores,
		excludeServer(serverId) {
			for (const row of rows.filter(({id}) => id === serverId)) {
				row.freeCapacity = {cpuMillicores: 0, memoryMb: 0, gpuCount: 0};
			}

			largestFreeMillicores = getLargestFree();
		},
		permitFarRuns() {
			areFarRunsPermitted = true;
		},
		getTotalMillicores: () => totalMillicores,
		getFreeMillicores: () => freeMillicores,
		getRackLoad(rack) {
			const {near} = getCandidates(rack);
			return {
				freeMillicores: near.reduce((sum, {freeCapacity}) => sum + freeCapacity.cpuMillicores, 0),
				releases: near.flatMap(({expectedChanges}) => expectedChanges),
			};
		},
	};
}

function getContention(spareShare: number): number {
	return Math.max(0, Math.min(1, (contentionStartShare - spareShare) / (contentionStartShare - fullContentionShare)));
}

function createRow(server: PooledServer, {getSpeed}: CapacityTableOptions): Row {
	const {session, health} = server;
	const description = session.getDescription();
	return {
		server,
		id: description.id,
		freeCapacity: session.getFreeCapacity(),
		expectedChanges: [],
		hasExpectedChanges: false,
		speed: getSpeed?.(description) ?? 1,
		grade: health.getGrade(session.getRuns().size),
		labels: description.labels,
		sameStepCount: 0,
	};
}

function countSameStep({server}: Row, job: PlacedJob, task: PlacedTask): number {
	return job.tasks.filter(other => other.step === task.step && server.session.findRun(other.name) !== undefined).length;
}
