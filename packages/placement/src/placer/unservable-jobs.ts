import type {TimerService} from '@camphortack/core';
import {getStartableTasks, isUnstarted, type PlacedJob} from '../jobs/placed-job.js';
import {findEarliestRoomMs, type ServerRoom} from '../queue/find-earliest-room.js';
import type {BackendSession} from '../sessions/backend-session.js';
import {getReportedRunningMs} from '../sessions/run.js';
import type {JobTable} from './job-table.js';
import type {LeavingEntries} from './leaving-entries.js';
import type {ServerPool} from './server-pool.js';

/** The jobs whose entry daemons are being stopped and cannot be answered after a start. */
export type UnservableJobs = {
	/** Refuses the jobs that have not started and certainly do not get room before their last possible start. */
	refuseJobs(): void;
};

export type UnservableJobsOptions = {
	timers: TimerService;
	jobTable: JobTable;
	pool: ServerPool;
	leavingEntries: LeavingEntries;
	onRefused: (job: PlacedJob) => void;
};

/**
 * Creates the refusals of a placer. The bound is the time at which there can be room, which follows from the progress of the runs on the
 * backend servers, not from estimates of callers: a job that might still be served waits until its last possible start.
 * @param options - The open jobs, the backend servers and the leaving entry daemons.
 *
 * @example
 * ```ts
 * const unservableJobs = createUnservableJobs(options);
 * unservableJobs.refuseJobs(); // In each pass.
 * ```
 */
export function createUnservableJobs({timers, jobTable, pool, leavingEntries, onRefused}: UnservableJobsOptions): UnservableJobs {
	/** Gets the rooms of a service; undefined if one of its backend servers is not claimed, so that it may have room at any time. */
	function findRooms(service: string): ServerRoom[] | undefined {
		const sessions = [...pool.getServers()].map(({session}) => session).filter(session => mayServe(session, service));
		return sessions.every(session => session.getState() === 'held') ? sessions.map(session => getRoom(session)) : undefined;
	}

	function isUnservable(job: PlacedJob, lastStartMs: number, rooms: readonly ServerRoom[] | undefined): boolean {
		const nowMs = timers.getNowMs();
		if (nowMs >= lastStartMs) {
			return true;
		}

		const [task] = getStartableTasks(job);
		const roomMs = task === undefined || rooms === undefined ? nowMs : findEarliestRoomMs(rooms, task.needs, nowMs);
		return roomMs !== undefined && roomMs > lastStartMs;
	}

	return {
		refuseJobs() {
			const rooms = new Map<string, ServerRoom[] | undefined>();
			for (const job of leavingEntries.isEmpty() ? [] : jobTable.getJobs()) {
				const {service} = job.request;
				const lastStartMs = mayBeRefused(job) ? leavingEntries.findLastStartMs(job) : undefined;
				if (lastStartMs === undefined) {
					continue;
				}

				if (!rooms.has(service)) {
					rooms.set(service, findRooms(service));
				}

				if (isUnservable(job, lastStartMs, rooms.get(service))) {
					onRefused(job);
				}
			}
		},
	};
}

/** Whether certainly no placer has started a task of a job. */
function mayBeRefused(job: PlacedJob): boolean {
	return !job.hasStarted && !job.isHeld && job.recoveryDeadlineMs === undefined && isUnstarted(job);
}

function mayServe(session: BackendSession, service: string): boolean {
	const description = session.getDescription();
	return description.service === service && description.state === 'ready' && session.getState() !== 'closed';
}

/**
 * Gets the room without regard to slots, to runs that are being stopped and to those whose needs are not known, so that it is never less
 * than the actual one.
 */
function getRoom(session: BackendSession): ServerRoom {
	const {cpuMillicores, memoryMb, gpuCount} = session.getDescription();
	const freeCapacity = {cpuMillicores, memoryMb, gpuCount};
	const runs: Array<ServerRoom['runs'][number]> = [];
	for (const run of session.getRuns().values()) {
		if (run.needs !== undefined && run.state !== 'stopping') {
			freeCapacity.cpuMillicores -= run.needs.cpuMillicores;
			freeCapacity.memoryMb -= run.needs.memoryMb;
			freeCapacity.gpuCount -= run.needs.gpuCount;
			runs.push({
				startedAtMs: run.startedAtMs, reportedMs: getReportedRunningMs(run), percent: run.percent, needs: run.needs,
			});
		}
	}

	return {freeCapacity, runs};
}
