import type {WaitingJob} from './waiting-job.js';

/** The backend servers of a service at the moment of a decision. */
export type ServiceLoad = {
	/** What tasks of usual size can fill. */
	usableMillicores: number;
	freeMillicores: number;
	/** The mean run time of what runs, weighted by cores. */
	meanRunMs: number;
};

/** Foresees how long jobs wait behind those that go first. */
export type WaitBook = {
	/** Gets how long a job waits until all its tasks have begun. */
	getWaitMs(job: Pick<WaitingJob, 'waitingMillicores' | 'longestMs'>): number;
	/** Puts a job ahead of those asked for later. */
	addJob(job: WaitingJob): void;
};

/**
 * Creates the book. What is free is taken first; then room comes free as running tasks end, at the rate of all cores in
 * one mean run time; and once every core has turned over, at the pace of the jobs ahead.
 * @param load - The backend servers.
 *
 * @example
 * ```ts
 * const book = createWaitBook({usableMillicores: 54_000, freeMillicores: 0, meanRunMs: 100});
 * book.getWaitMs(job); // 50 for a job of 27 cores
 * ```
 */
export function createWaitBook({usableMillicores, freeMillicores, meanRunMs}: ServiceLoad): WaitBook {
	let aheadMillicores = 0;
	let aheadWork = 0;

	function getWaitMs(job: Pick<WaitingJob, 'waitingMillicores' | 'longestMs'>): number {
		const demand = aheadMillicores + job.waitingMillicores;
		const excess = demand - freeMillicores;
		if (excess <= 0 || usableMillicores <= 0) {
			return 0;
		}

		const work = aheadWork + (job.waitingMillicores * job.longestMs);
		const firstRoundMs = Math.min(1, excess / usableMillicores) * meanRunMs;
		const laterRounds = Math.max(0, excess - usableMillicores) / usableMillicores;
		return firstRoundMs + (laterRounds * work / demand);
	}

	return {
		getWaitMs,
		addJob(job) {
			aheadMillicores += job.waitingMillicores;
			aheadWork += job.waitingMillicores * job.longestMs;
		},
	};
}
