import type {
	Job, JobOutcome, MetricSink, RefusalCode,
} from '@camphortack/core';
import type {Limiter, LimitRequest} from '@camphortack/policy';
import {createRefusedOutcome} from '../jobs/job-outcomes.js';
import type {JobEnd, OpenJob} from '../jobs/open-job.js';

const millisecondsPerSecond = 1000;

export type AdmissionControllerOptions = {
	metrics: MetricSink;
	limits: Limiter;
	/** Checks whether a job must be refused before any limit is requested. */
	findRefusal: (job: Job) => RefusalCode | undefined;
	/** Finds when to retry after a refusal, if known more precisely than the default for the code. */
	findRetryAfterMs: (code: RefusalCode) => number | undefined;
	createJob: (job: Job, onEnd: (end: JobEnd) => void) => OpenJob;
	/** Called with each job that passed the checks and every limit. */
	onAdmitted: (job: OpenJob) => void;
};

/** Admits jobs submitted by callers: runs the admission checks, requests the limits, then enqueues the job. */
export type AdmissionController = {
	submitJob(job: Job, onEnd: (outcome: JobOutcome) => void): void;
	/** Cancels a job that is waiting for a limit decision; returns false if no such job has this id. */
	cancelJob(jobId: string): boolean;
};

export function createAdmissionController(options: AdmissionControllerOptions): AdmissionController {
	const {metrics, limits} = options;
	const pendingAdmissions = new Map<string, {isCancelled: boolean}>();

	function submitJob(job: Job, onEnd: (outcome: JobOutcome) => void): void {
		const code = options.findRefusal(job);
		if (code !== undefined) {
			refuse(job.id, code, onEnd, options.findRetryAfterMs(code));
			return;
		}

		const openJob = options.createJob(job, ({outcome}) => {
			onEnd(outcome);
		});
		const admission = {isCancelled: false};
		pendingAdmissions.set(job.id, admission);
		limits.requestAdmission(getLimitRequest(job, openJob), decision => {
			pendingAdmissions.delete(job.id);
			if (!decision.isAdmitted) {
				refuse(job.id, decision.code, onEnd, decision.retryAfterMs);
				return;
			}

			if (admission.isCancelled) {
				limits.closeJob(job.id);
				refuse(job.id, 'cancelled', onEnd);
				return;
			}

			options.onAdmitted(openJob);
		});
	}

	function refuse(id: string, code: RefusalCode, onEnd: (outcome: JobOutcome) => void, retryAfterMs?: number): void {
		metrics.increment(`refused-${code}`);
		onEnd(createRefusedOutcome(id, code, retryAfterMs));
	}

	return {
		submitJob,
		cancelJob(jobId) {
			const admission = pendingAdmissions.get(jobId);
			if (admission === undefined) {
				return false;
			}

			admission.isCancelled = true;
			return true;
		},
	};
}

function getLimitRequest(job: Job, {pool, tasks}: OpenJob): LimitRequest {
	const expectedWorkMs = tasks.reduce((sum, task) => sum + task.queued.expectedRunTimeMs, 0);
	return {
		jobId: job.id,
		customer: job.customer,
		service: job.service,
		pool,
		taskCount: job.tasks.length,
		expectedWorkerSeconds: expectedWorkMs / millisecondsPerSecond,
	};
}
