import type {MetricSink} from '@camphortack/core';
import type {JobBook} from '../jobs/job-book.js';
import type {PoolLoad} from '../messages/dispatch-messages.js';
import type {PartnerTable} from '../peers/partner-table.js';
import type {QueueBook} from '../queues/queue-book.js';
import type {RetryBudgets} from '../retries/retry-budgets.js';
import type {PartVerdict} from './apply-part-outcome.js';
import type {HandedOverPart} from './part-sender.js';

export type PartEndingsOptions = {
	metrics: MetricSink;
	jobs: JobBook;
	queues: QueueBook;
	partners: PartnerTable;
	retryBudgets: RetryBudgets;
	getLoad: (pool: string) => PoolLoad;
	placePool: (pool: string) => void;
};

/** What becomes of the tasks of a part when the daemon that it was handed to has answered, or is lost. */
export type PartEndings = {
	endPart(part: HandedOverPart, verdict: PartVerdict): void;
};

/**
 * Creates the part that ends handed-over parts.
 * @param options - The open jobs, the queues and the partners.
 */
export function createPartEndings(options: PartEndingsOptions): PartEndings {
	const {
		metrics, jobs, queues, partners, retryBudgets, getLoad, placePool,
	} = options;

	function endPart(part: HandedOverPart, verdict: PartVerdict): void {
		switch (verdict.kind) {
			case 'done': {
				for (const task of part.tasks) {
					jobs.endTask(task);
				}

				break;
			}

			case 'failed': {
				jobs.giveUp(part.job, {failure: verdict.reason});
				break;
			}

			case 'refused': {
				placePartAgain(part);
				break;
			}

			case 'lost': {
				endLostPart(part);
				break;
			}
		}
	}

	/** The other daemon said that it started nothing. */
	function placePartAgain({job, peerId, tasks}: HandedOverPart): void {
		partners.addRefusal(peerId, job.pool);
		for (const task of tasks.toReversed()) {
			task.state = 'queued';
			queues.returnTask(task);
		}

		placePool(job.pool);
		const load = getLoad(job.pool);
		if (load.slots === 0 && queues.getTaskCount(job.pool) > 0 && partners.getCapacities(job.pool, load).length === 0) {
			jobs.giveUp(job, {failure: 'daemon-lost', refusal: 'no-backend-server'});
		}
	}

	function endLostPart({job, tasks}: HandedOverPart): void {
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
			jobs.giveUp(job, {failure: 'daemon-lost'});
		}
	}

	return {endPart};
}
