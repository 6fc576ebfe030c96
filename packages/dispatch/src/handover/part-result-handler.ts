import type {MetricSink} from '@camphortack/core';
import type {JobTable} from '../jobs/job-table.js';
import type {PoolLoad} from '../messages/dispatch-messages.js';
import type {PartnerTable} from '../peers/partner-table.js';
import type {TaskQueues} from '../queues/task-queues.js';
import type {RetryBudgets} from '../retries/retry-budgets.js';
import type {PartResult} from './apply-part-outcome.js';
import type {HandedOverPart} from './part-sender.js';

export type PartResultHandlerOptions = {
	metrics: MetricSink;
	jobs: JobTable;
	queues: TaskQueues;
	partners: PartnerTable;
	retryBudgets: RetryBudgets;
	getLoad: (pool: string) => PoolLoad;
	placePool: (pool: string) => void;
};

/** Completes, requeues or aborts handed-over tasks once the other daemon has sent an outcome or is lost. */
export type PartResultHandler = {
	handlePartResult(part: HandedOverPart, result: PartResult): void;
};

export function createPartResultHandler(options: PartResultHandlerOptions): PartResultHandler {
	const {
		metrics, jobs, queues, partners, retryBudgets, getLoad, placePool,
	} = options;

	function handlePartResult(part: HandedOverPart, result: PartResult): void {
		switch (result.kind) {
			case 'done': {
				for (const task of part.tasks) {
					jobs.endTask(task);
				}

				break;
			}

			case 'failed': {
				jobs.abort(part.job, {failure: result.reason});
				break;
			}

			case 'refused': {
				requeuePart(part);
				break;
			}

			case 'lost': {
				handleLostPart(part);
				break;
			}
		}
	}

	/** Requeues the tasks of a refused part, none of which the other daemon has started. */
	function requeuePart({job, peerId, tasks}: HandedOverPart): void {
		partners.recordRefusal(peerId, job.pool);
		for (const task of tasks.toReversed()) {
			task.state = 'queued';
			queues.returnTask(task);
		}

		placePool(job.pool);
		const load = getLoad(job.pool);
		if (load.slots === 0 && queues.getTaskCount(job.pool) > 0 && partners.getCapacities(job.pool, load).length === 0) {
			jobs.abort(job, {failure: 'daemon-lost', refusal: 'no-backend-server'});
		}
	}

	function handleLostPart({job, tasks}: HandedOverPart): void {
		if (job.hasEnded) {
			return;
		}

		const isRetried = job.idempotent && tasks.every(() => retryBudgets.getRetryBudget(job.service).takeRetry());
		for (const task of tasks) {
			task.mayHaveRun = true;
			task.state = isRetried ? 'queued' : 'lost';
		}

		if (isRetried) {
			metrics.increment('retry-idempotent', tasks.length);
			for (const task of tasks.toReversed()) {
				queues.returnTask(task);
			}

			placePool(job.pool);
		} else {
			jobs.abort(job, {failure: 'daemon-lost'});
		}
	}

	return {handlePartResult};
}
