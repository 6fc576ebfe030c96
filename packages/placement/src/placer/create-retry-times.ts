import type {MetricSink, RandomSource, TimerService} from '@camphortack/core';
import type {PlacedJob} from '../jobs/placed-job.js';
import type {RefusalReason} from '../messages/job-outcome.js';
import {
	addReturnWork, getRetryAfterMs, getReturnBacklog, type ReturnBacklog,
} from '../queue/get-retry-after-ms.js';
import type {ServerPool} from './server-pool.js';

/** The job, why it is refused, and the wait that was estimated for it. */
export type RefusedJob = {
	job: PlacedJob;
	reason: RefusalReason;
	waitMs: number;
};

export type RetryTimesOptions = {
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	pool: ServerPool;
};

const millicoresPerCore = 1000;

/**
 * Creates the function that gets the Retry-After of refused jobs. It remembers the refused work of each service.
 * @param options - The clock, the random source, the metrics and the backend servers.
 */
export function createRetryTimes({timers, random, metrics, pool}: RetryTimesOptions): (refused: RefusedJob) => number {
	const backlogs = new Map<string, ReturnBacklog>();

	function getCores(service: string): number {
		let millicores = 0;
		for (const {session} of pool.getServers()) {
			const description = session.getDescription();
			millicores += description.service === service ? description.cpuMillicores : 0;
		}

		return millicores / millicoresPerCore;
	}

	return ({job: {request: {service}, work}, reason, waitMs}) => {
		const nowMs = timers.getNowMs();
		const cores = getCores(service);
		const backlog = getReturnBacklog(backlogs.get(service) ?? {work: 0, atMs: nowMs}, cores, nowMs);
		// Refusals for other causes than the load say nothing about when their callers can be served.
		const isForLoad = reason === 'overload' || reason === 'too-late';
		const next = isForLoad ? addReturnWork(backlog, work, cores) : backlog;
		backlogs.set(service, next);
		const retryAfterMs = getRetryAfterMs({
			returnWork: isForLoad ? next.work : 0, cores, waitMs, fraction: random.getFraction(),
		});
		metrics.addTiming('retry-after-time', retryAfterMs);
		return retryAfterMs;
	};
}
