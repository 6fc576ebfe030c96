import type {WaitingJob} from './waiting-job.js';

/** The load on the backend servers of a service at the time of a decision. */
export type ServiceLoad = {
	/** The CPU that tasks of typical size can use. */
	usableMillicores: number;
	freeMillicores: number;
	/** The CPU of the running tasks divided by the rate at which they release it. */
	meanRunMs: number;
};

/** Share of the usable CPU that jobs beyond their share leave free while capacity is short. */
const reserveShare = 0.05;

/**
 * Gets the CPU that jobs beyond their share leave free while capacity is short.
 * @param load - The load on the backend servers.
 */
export function getReserveMillicores({usableMillicores}: ServiceLoad): number {
	return usableMillicores * reserveShare;
}

/** Estimates how long jobs wait behind the jobs ahead of them. */
export type WaitEstimator = {
	/** Gets the estimated time until all tasks of a job have started. */
	getWaitMs(job: Pick<WaitingJob, 'waitingMillicores' | 'criticalPathMs'>): number;
	/** Adds a job ahead of the jobs that are estimated after it. */
	addJob(job: Pick<WaitingJob, 'waitingMillicores' | 'criticalPathMs'>): void;
};

/**
 * Creates the estimator. Free CPU is used first. After that, CPU becomes free as running tasks end, at a rate of all
 * cores per mean run time, and once every core has been reused, at the rate of the jobs ahead.
 * @param load - The load on the backend servers.
 *
 * @example
 * ```ts
 * const estimator = createWaitEstimator({usableMillicores: 54_000, freeMillicores: 0, meanRunMs: 100});
 * estimator.getWaitMs(job); // 50 for a job of 27 cores
 * ```
 */
export function createWaitEstimator({usableMillicores, freeMillicores, meanRunMs}: ServiceLoad): WaitEstimator {
	let aheadMillicores = 0;
	let aheadWork = 0;

	function getWaitMs(job: Pick<WaitingJob, 'waitingMillicores' | 'criticalPathMs'>): number {
		const demand = aheadMillicores + job.waitingMillicores;
		const excess = demand - freeMillicores;
		if (excess <= 0 || usableMillicores <= 0) {
			return 0;
		}

		const work = aheadWork + (job.waitingMillicores * job.criticalPathMs);
		const firstTurnoverMs = Math.min(1, excess / usableMillicores) * meanRunMs;
		const laterTurnovers = Math.max(0, excess - usableMillicores) / usableMillicores;
		return firstTurnoverMs + (laterTurnovers * work / demand);
	}

	return {
		getWaitMs,
		addJob(job) {
			aheadMillicores += job.waitingMillicores;
			aheadWork += job.waitingMillicores * job.criticalPathMs;
		},
	};
}
