import type {RunTimeEstimator} from '@camphortack/policy';
import type {
	Job, MetricSink, RefusalCode, TimerService,
} from '@camphortack/core';
import {checkAdmission} from '../admission/check-admission.js';
import type {PlacementRules} from '../configuration/placement-rules.js';
import type {JobTable} from '../jobs/job-table.js';
import {createOpenJob, type JobEnd, type OpenJob} from '../jobs/open-job.js';
import type {JobMessage} from '../messages/dispatch-messages.js';
import type {TaskRouter} from '../placement/task-router.js';
import type {TaskQueues} from '../queues/task-queues.js';
import type {BackendServerTable} from '../servers/backend-server-table.js';

/** Enqueues jobs on this daemon. */
export type JobIntake = {
	createJob(key: string, job: Job, onEnd: (end: JobEnd) => void, message?: JobMessage): OpenJob;
	/** Enqueues a job that the limits have admitted; refuses it if its queue is full. */
	acceptJob(job: OpenJob): void;
	/** Enqueues tasks handed over by another daemon; returns the refusal code if they are not accepted. */
	acceptPart(key: string, job: Job, message: JobMessage, onEnd: (end: JobEnd) => void): RefusalCode | undefined;
};

export type JobIntakeOptions = {
	timers: TimerService;
	metrics: MetricSink;
	estimator: RunTimeEstimator;
	jobs: JobTable;
	queues: TaskQueues;
	table: BackendServerTable;
	router: TaskRouter;
	/** Gets the placement rules. Jobs are created only after a configuration has been set. */
	findRules: () => PlacementRules | undefined;
	isDraining: () => boolean;
	/** Gets the number of slots of a pool that this daemon may use now. */
	getSlotCount: (pool: string) => number;
	placePool: (pool: string) => void;
};

export function createJobIntake(options: JobIntakeOptions): JobIntake {
	const {timers, metrics, estimator, jobs, queues, table, router, findRules} = options;

	function createJob(key: string, job: Job, onEnd: (end: JobEnd) => void, message?: JobMessage): OpenJob {
		const rules = findRules()!;
		return createOpenJob({
			key,
			job,
			indexes: message?.indexes,
			lostServers: message?.lostServers,
			handovers: message?.handovers,
			pool: rules.getPoolName(job.service, job.customer),
			declaredRunTimeMs: rules.findService(job.service)!.declaredRunTimeMs,
			getExpectedRunTimeMs: declaredRunTimeMs => estimator.getExpectedRunTimeMs(job.service, declaredRunTimeMs),
			nowMs: timers.getNowMs(),
			onEnd,
		});
	}

	function addToQueue(job: OpenJob): boolean {
		const isAdded = queues.addTasks(router.route(job), findRules()!.findService(job.service)!) === 'added';
		if (isAdded) {
			options.placePool(job.pool);
			metrics.setGauge('task-queued', queues.getTotals().tasks);
		}

		return isAdded;
	}

	return {
		createJob,
		acceptJob(job) {
			jobs.addJob(job, true);
			if (addToQueue(job)) {
				metrics.increment('job-accepted');
			} else {
				jobs.refuse(job, 'queue-full');
			}
		},
		acceptPart(key, job, message, onEnd) {
			const code = checkAdmission({
				job, rules: findRules(), isDraining: options.isDraining(), table, estimator, hasPartners: false,
			});
			if (code !== undefined) {
				return code;
			}

			const openJob = createJob(key, job, onEnd, message);
			if (options.getSlotCount(openJob.pool) === 0) {
				return 'no-backend-server';
			}

			jobs.addJob(openJob, false);
			if (!addToQueue(openJob)) {
				jobs.refuse(openJob, 'queue-full');
			}

			return undefined;
		},
	};
}
