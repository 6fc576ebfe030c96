import type {TimerService} from '@camphortack/core';
import {createQueueWorkMeans} from '../estimates/queue-work-means.js';
import {createRunTimeEstimator} from '../estimates/run-time-estimator.js';
import {getJobEstimate} from '../jobs/get-job-estimate.js';
import {getJobMemoryBytes} from '../jobs/get-job-memory.js';
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
	/** Creates a job that ends at once. */
	createJobWithoutTasks(entryId: string, message: PlacementMessageOf<'placement.submit'>): PlacedJob;
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

	function getExpectedMsOfQueue(queueName: string): (step: JobStep) => number {
		return step => runTimeEstimator.getExpectedMs(queueName, step.estimateMs);
	}

	function createJobWithoutTasks(entryId: string, message: PlacementMessageOf<'placement.submit'>): PlacedJob {
		const {request, submissionId, incarnation, sequence, mayHaveStarted, handover} = message;
		const {criticalPathMs, work} = getJobEstimate(request, getExpectedMsOfQueue(request.queueName));
		const relativeWork = queueWorkMeans.getRelativeWork(request.queueName, work);
		const waiting = createWaitingSubmissions();
		waiting.add(submissionId, {entryId, incarnation}, sequence);
		return {
			request,
			submissionId,
			entryId,
			waiting,
			arrivedAtMs: timers.getNowMs() - request.ageMs,
			tasks: [],
			objectiveMs: (criticalPathMs * request.stretch) + request.slackMs,
			criticalPathMs,
			work,
			relativeWork,
			sizePlace: {sizeClass: 'other', orderedWork: relativeWork, standing: 'usual'},
			memoryBytes: 0,
			hasStarted: mayHaveStarted,
			isEnded: false,
			serverIds: [],
			handovers: handover === undefined ? [] : [{...handover, entryId}],
			recoveryDeadlineMs: mayHaveStarted ? timers.getNowMs() + recoveryMs : undefined,
			mayBeElsewhere: false,
			isHeld: false,
		};
	}

	return {
		createJob(entryId, message) {
			const {request, generation} = message;
			const job = createJobWithoutTasks(entryId, message);
			queueWorkMeans.addJob(request.queueName, job.work);
			return {
				...job,
				tasks: createPlacedTasks(request, generation, getStepEstimates(request, getExpectedMsOfQueue(request.queueName))),
				sizePlace: sizeShares.addJob(request.queueName, job.relativeWork),
				memoryBytes: getJobMemoryBytes(request),
			};
		},
		createJobWithoutTasks,
		addRun: runTimeEstimator.addRun,
	};
}
