import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import {runNumbersPerGeneration, type PlacedJob} from '../jobs/placed-job.js';
import type {JobOutcome} from '../messages/job-outcome.js';
import type {PlacementMessageOf} from '../messages/placement-messages.js';
import type {SizeShares} from '../queue/create-size-shares.js';

/** Records the arrivals and ends of jobs at the placer in the event log, the metrics and the shares of the sizes. */
export type JobLog = {
	recordArrival(job: PlacedJob, message: PlacementMessageOf<'placement.submit'>): void;
	recordEnd(job: PlacedJob, result: JobOutcome): void;
};

export type JobLogOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	sizeShares: SizeShares;
};

/**
 * Creates the records of a placer.
 * @param options - The clock and where to record.
 */
export function createJobLog({timers, events, metrics, sizeShares}: JobLogOptions): JobLog {
	/** Records whether a job was served in time. Ends that have other causes than the load are left out. */
	function recordService({request: {queueName}, sizePlace, arrivedAtMs, objectiveMs}: PlacedJob, result: JobOutcome): void {
		if (result.outcome === 'completed' || (result.outcome === 'refused' && (result.reason === 'overload' || result.reason === 'too-late'))) {
			sizeShares.addEnd(queueName, sizePlace, result.outcome === 'completed' && timers.getNowMs() <= arrivedAtMs + objectiveMs);
		}
	}

	return {
		recordArrival(job, message) {
			if (job.sizePlace.standing !== 'usual') {
				metrics.increment(job.sizePlace.standing === 'preferred' ? 'large-job-preferred' : 'medium-job-deferred');
			}

			events.write('job-taken', {
				job: job.request.jobId,
				queue: job.request.queueName,
				entry: job.entryId,
				generation: message.generation,
				ageMs: Math.round(message.request.ageMs),
				expectedMs: Math.round(job.criticalPathMs),
				objectiveMs: Math.round(job.objectiveMs),
				relativeWork: Number(job.relativeWork.toFixed(2)),
				orderedWork: Number(job.sizePlace.orderedWork.toFixed(2)),
			});
		},
		recordEnd(job, result) {
			recordService(job, result);
			const ageMs = Math.round(timers.getNowMs() - job.arrivedAtMs);
			events.write('job-ended', {
				job: job.request.jobId,
				queue: job.request.queueName,
				outcome: result.outcome,
				reason: 'reason' in result ? result.reason : undefined,
				ageMs,
				objectiveMs: Math.round(job.objectiveMs),
				tasks: job.tasks.length,
				runs: job.tasks.reduce((sum, task) => sum + (task.runNumber % runNumbersPerGeneration), 0),
				entry: job.entryId,
				servers: job.serverIds.join(' '),
			});
			metrics.addTiming('placed-job-time', ageMs);
		},
	};
}
