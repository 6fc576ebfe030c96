import type {MetricSink, TimerService} from '@camphortack/core';
import {createRetryBudget, type RetryBudget, type RunTimeEstimator} from '@camphortack/policy';
import type {OpenTask} from '../jobs/open-job.js';
import type {TaskQueues} from '../queues/task-queues.js';
import {addUsedResources, hasRoomFor, type BackendServerRecord} from '../servers/backend-server-record.js';
import type {BackendServerTable} from '../servers/backend-server-table.js';
import type {Attempt} from './attempt.js';
import type {TaskRunner} from './task-runner.js';

export type HedgerOptions = {
	timers: TimerService;
	metrics: MetricSink;
	table: BackendServerTable;
	queues: TaskQueues;
	runner: TaskRunner;
	estimator: RunTimeEstimator;
	/** Gets the second attempts that a service allows as a ratio of its tasks; 0 disables hedging. */
	getHedgeBudgetRatio: (service: string) => number;
	mayUse: (server: BackendServerRecord) => boolean;
	isEjected: (backendServerId: string) => boolean;
};

/** Starts second attempts for slow tasks of idempotent jobs, within the hedge budget of each service. */
export type Hedger = {
	/** Records the completion of a task, which adds to the hedge budget of its service. */
	recordCompletion(service: string): void;
	/** Starts second attempts for the tasks that are slow now. */
	hedgeSlowTasks(): void;
};

/** A task is slow once its run time exceeds the 95th percentile of its service by this factor. */
const slowFactor = 2;
const slowQuantile = 0.95;

export function createHedger(options: HedgerOptions): Hedger {
	const {timers, metrics, table, runner} = options;
	const budgets = new Map<string, RetryBudget>();

	function getBudget(service: string): RetryBudget {
		let budget = budgets.get(service);
		if (budget === undefined) {
			budget = createRetryBudget({timers, ratio: options.getHedgeBudgetRatio(service), minRetriesPerSecond: 0});
			budgets.set(service, budget);
		}

		return budget;
	}

	function hedgeSlowTasks(): void {
		for (const attempt of [...runner.getRunning()].filter(other => isSlow(other))) {
			hedge(attempt);
		}
	}

	function isSlow({task, startedAtMs, isAbandoned}: Attempt): boolean {
		const {job} = task;
		if (isAbandoned || !job.idempotent || task.attempts.size > 1 || options.getHedgeBudgetRatio(job.service) === 0) {
			return false;
		}

		const usualMs = options.estimator.findQuantileMs(job.service, slowQuantile);
		return usualMs !== undefined && timers.getNowMs() - startedAtMs > slowFactor * usualMs;
	}

	function hedge({task, server}: Attempt): void {
		const {pool, service} = task.job;
		const other = options.queues.getTaskCount(pool) > 0 ? undefined : findAlternativeServer(pool, server, task);
		if (other === undefined || !getBudget(service).takeRetry()) {
			return;
		}

		metrics.increment('hedge-started');
		addUsedResources(other, task.needs, 1);
		runner.startTasks(other, task.job, [task]);
		table.refresh(other);
	}

	function findAlternativeServer(pool: string, server: BackendServerRecord, {job, needs}: OpenTask): BackendServerRecord | undefined {
		for (const other of table.getAvailable(pool)) {
			const isFit = other.announcement.services.includes(job.service) && hasRoomFor(other, needs);
			if (other !== server && isFit && options.mayUse(other) && !options.isEjected(other.id)) {
				return other;
			}
		}

		return undefined;
	}

	return {
		recordCompletion(service) {
			if (options.getHedgeBudgetRatio(service) > 0) {
				getBudget(service).addSuccess();
			}
		},
		hedgeSlowTasks,
	};
}
