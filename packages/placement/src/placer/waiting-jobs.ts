import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import {createWaitEstimator, getReserveMillicores, type ServiceLoad} from '../queue/create-wait-estimator.js';
import {findRefusal, type WaitingRefusalReason} from '../queue/find-refusal.js';
import type {ShareGroup, WaitingJob} from '../queue/waiting-job.js';
import type {CapacityTable} from './capacity-table.js';

/** A job with tasks to place, and the inputs to the queueing decisions. */
export type WaitingEntry = {
	job: PlacedJob;
	waitingJob: WaitingJob;
};

/** A job to refuse. */
export type Refusal = {
	job: PlacedJob;
	reason: WaitingRefusalReason;
	/** The time until the backlog before the job is served. */
	drainMs: number;
	/** The group of the job; undefined while there is capacity for all. */
	shareGroup: ShareGroup | undefined;
};

/** The job of typical size whose estimated wait is reported as the load. */
const referenceJob: Pick<WaitingJob, 'waitingMillicores' | 'criticalPathMs'> = {waitingMillicores: 100_000, criticalPathMs: 200};
/** Share of the cores that tasks of typical size can use, given the fragmentation they cause. */
const packingEfficiency = 0.85;

/**
 * Gets the jobs that have tasks to place, in order of arrival.
 * @param jobs - The open jobs.
 */
export function getWaitingJobs(jobs: Iterable<PlacedJob>): WaitingEntry[] {
	const waiting: WaitingEntry[] = [];
	for (const job of jobs) {
		if (job.recoveryDeadlineMs === undefined && job.tasks.some(task => task.state === 'waiting')) {
			waiting.push({job, waitingJob: getWaitingJob(job)});
		}
	}

	return waiting;
}

function getWaitingJob(job: PlacedJob): WaitingJob {
	return {
		arrivedAtMs: job.arrivedAtMs,
		criticalPathMs: job.criticalPathMs,
		objectiveMs: job.objectiveMs,
		callerDeadlineMs: job.arrivedAtMs + job.request.callerTimeoutMs,
		waitingMillicores: getMillicores(job, 'waiting'),
		relativeWork: job.relativeWork,
		hasStarted: job.hasStarted,
		priority: job.request.priority ?? 0,
		standing: undefined,
	};
}

/**
 * Gets the load on the backend servers of each service.
 * @param jobs - The open jobs.
 * @param tables - The free capacity of each service.
 */
export function getServiceLoads(jobs: Iterable<PlacedJob>, tables: ReadonlyMap<string, CapacityTable>): Map<string, ServiceLoad> {
	const openJobs = [...jobs];
	return new Map([...tables].map(([service, table]) => [service, getServiceLoad(openJobs, service, table)]));
}

/**
 * Finds the jobs to refuse now, and estimates the wait of a further job of typical size behind the remaining ones.
 * @param waiting - The waiting jobs, in scheduling order.
 * @param loads - The load of each service.
 * @param nowMs - The current time.
 */
export function findRefusals(waiting: readonly WaitingEntry[], loads: ReadonlyMap<string, ServiceLoad>, nowMs: number): {refusals: Refusal[]; loadMs: number} {
	const refusals: Refusal[] = [];
	const reserved = new Set<string>();
	const estimators = new Map([...loads].map(([service, load]) => [service, createWaitEstimator(load)]));
	for (const {job, waitingJob} of waiting) {
		const {service} = job.request;
		const estimator = estimators.get(service)!;
		if (isBeyondShare(waitingJob) && !reserved.has(service)) {
			reserved.add(service);
			const load = loads.get(service)!;
			estimator.addJob({waitingMillicores: getReserveMillicores(load), criticalPathMs: load.meanRunMs});
		}

		const waitAheadMs = estimator.getWaitMs(waitingJob);
		const reason = findRefusal(waitingJob, {nowMs, waitAheadMs});
		if (reason === undefined) {
			estimator.addJob(waitingJob);
		} else {
			refusals.push({
				job, reason, drainMs: waitAheadMs, shareGroup: waitingJob.standing?.shareGroup,
			});
		}
	}

	const loadMs = Math.max(0, ...[...estimators.values()].map(estimator => estimator.getWaitMs(referenceJob)));
	return {refusals, loadMs: Math.round(loadMs)};
}

function getServiceLoad(jobs: readonly PlacedJob[], service: string, table: CapacityTable): ServiceLoad {
	let runningMillicores = 0;
	let endRate = 0;
	let waitingMillicores = 0;
	let waitingCount = 0;
	for (const job of jobs) {
		if (job.request.service === service) {
			const millicores = getMillicores(job, 'running');
			runningMillicores += millicores;
			endRate += millicores / Math.max(1, job.criticalPathMs);
			for (const {state, needs} of job.tasks) {
				if (state === 'waiting') {
					waitingMillicores += needs.cpuMillicores;
					waitingCount++;
				}
			}
		}
	}

	return {
		usableMillicores: table.getTotalMillicores() * packingEfficiency,
		freeMillicores: waitingMillicores === 0 ? table.getFreeMillicores() : table.getUsableFreeMillicores(waitingMillicores / waitingCount),
		meanRunMs: endRate === 0 ? 0 : runningMillicores / endRate,
	};
}

/**
 * Gets the jobs to place, in order. Those beyond their share leave a reserve for jobs within theirs, which may arrive at any time.
 * @param waiting - The waiting jobs, in scheduling order.
 * @param loads - The load of each service.
 */
export function getPlaceableJobs(waiting: readonly WaitingEntry[], loads: ReadonlyMap<string, ServiceLoad>): PlacedJob[] {
	const free = new Map([...loads].map(([service, {freeMillicores}]) => [service, freeMillicores]));
	return waiting.flatMap(({job, waitingJob}) => {
		const {service} = job.request;
		const freeAfter = free.get(service)! - waitingJob.waitingMillicores;
		if (job.isEnded || (isBeyondShare(waitingJob) && freeAfter < getReserveMillicores(loads.get(service)!))) {
			return [];
		}

		free.set(service, freeAfter);
		return [job];
	});
}

/**
 * Gets the CPU that running and waiting tasks demand, in percent of what they can use.
 * @param waiting - The waiting jobs.
 * @param loads - The load of each service.
 */
export function getDemandPercent(waiting: readonly WaitingEntry[], loads: ReadonlyMap<string, ServiceLoad>): number {
	let demand = 0;
	let usable = 0;
	for (const {usableMillicores, freeMillicores} of loads.values()) {
		demand += Math.max(0, usableMillicores - freeMillicores);
		usable += usableMillicores;
	}

	for (const {waitingJob} of waiting) {
		demand += waitingJob.waitingMillicores;
	}

	return usable === 0 ? 0 : Math.round(100 * demand / usable);
}

/** Whether a job waits behind all jobs that are within their shares, and leaves them a reserve. */
function isBeyondShare({hasStarted, standing}: WaitingJob): boolean {
	return !hasStarted && standing !== undefined && standing.shareGroup !== 'within-share';
}

function getMillicores(job: PlacedJob, state: PlacedTask['state']): number {
	let sum = 0;
	for (const task of job.tasks) {
		sum += task.state === state ? task.needs.cpuMillicores : 0;
	}

	return sum;
}
