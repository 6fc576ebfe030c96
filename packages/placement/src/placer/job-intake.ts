import type {TimerService} from '@camphortack/core';
import {createQueueWorkMeans} from '../estimates/queue-work-means.js';
import {createRunTimeEstimator} from '../estimates/run-time-estimator.js';
import {getJobEstimate} from '../jobs/get-job-estimate.js';
import {getStepEstimates} from '../jobs/get-step-estimates.js';
import type {JobStep} from '../jobs/job-request.js';
import {createPlacedTasks, type PlacedJob} from '../jobs/placed-job.js';
import {createWaitingSubmissions} from '../jobs/waiting-submissions.js';
import type {PlacementMessageOf} from '../messages/placement-messages.js';
import type {SizeShares} from '../queue/create-size-shares.js';
import {recoveryMs} from './job-recovery.js';

/** Turns submissions into jobs, with estimates from what the queues' earlier jobs took. */
export type JobIntake = {
	createJob(entryId: string, message: PlacementMessageOf<'placement.submit'>): PlacedJob;
	/** Records how long a task of a queue took. */
	addRun(queueName: string, durationMs: number): void;
};

/**
 * Creates the intake of a placer, which has seen no jobs yet.
 * @param timers - The clock.
 * @param sizeShares - How often the sizes of each queue's jobs are served.
 */
export function createJobIntake(timers: TimerService, sizeShares: SizeShares): JobIntake {
	const runTimeEstimator = createRunTimeEstimator();
	const queueWorkMeans = createQueueWorkMeans();

	return {
		createJob(entryId, {request, submissionId, incarnation, sequence, generation, mayHaveStarted, handover}) {
			const {queueName} = request;
			const getExpectedMs = (step: JobStep) => runTimeEstimator.getExpectedMs(queueName, step.estimateMs);
			const {criticalPathMs, work} = getJobEstimate(request, getExpectedMs);
			const relativeWork = queueWorkMeans.getRelativeWork(queueName, work);
			queueWorkMeans.addJob(queueName, work);
			const waiting = createWaitingSubmissions();
			waiting.add(submissionId, {entryId, incarnation}, sequence);
			return {
				request,
				submissionId,
				entryId,
				waiting,
				arrivedAtMs: timers.getNowMs() - request.ageMs,
				tasks: createPlacedTasks(request, generation, getStepEstimates(request, getExpectedMs)),
				objectiveMs: (criticalPathMs * request.stretch) + request.slackMs,
				criticalPathMs,
				work,
				relativeWork,
				sizePlace: sizeShares.addJob(queueName, relativeWork),
				hasStarted: mayHaveStarted,
				isEnded: false,
				serverIds: [],
				handovers: handover === undefined ? [] : [{...handover, entryId}],
				recoveryDeadlineMs: mayHaveStarted ? timers.getNowMs() + recoveryMs : undefined,
				isHeld: false,
			};
		},
		addRun: runTimeEstimator.addRun,
	};
}
