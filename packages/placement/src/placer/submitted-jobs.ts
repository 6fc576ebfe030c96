import type {MetricSink} from '@camphortack/core';
import type {EntryList} from '../jobs/entry-list.js';
import {getJobMemoryBytes} from '../jobs/get-job-memory.js';
import type {PlacedJob} from '../jobs/placed-job.js';
import type {JobOutcome, RefusalReason} from '../messages/job-outcome.js';
import type {PlacementMessageOf} from '../messages/placement-messages.js';
import type {JobIntake} from './job-intake.js';
import type {JobLog} from './job-log.js';
import type {JobRecovery} from './job-recovery.js';
import type {JobTable} from './job-table.js';

/** The submissions of jobs by entry daemons, and who still waits for the results. */
export type SubmittedJobs = {
	/** Accepts a job. A submission of a job that is already open joins it. */
	submit(entryId: string, message: PlacementMessageOf<'placement.submit'>): void;
	/** Cancels a job for all who wait for it. */
	cancel(jobId: string): void;
	/** Ends a job of which is not known whether it was cancelled for all who wait for it. */
	abort(jobId: string): void;
	/** Handles that the callers of a submission have left. A job that no other submission waits for is cancelled. */
	withdraw(jobId: string, submissionId: string): void;
	/** Withdraws the submissions that a list of the open jobs of an entry daemon should name and does not. Returns the number of jobs that end. */
	withdrawUnlisted(list: EntryList): number;
	/**
	 * Ends the jobs that only an entry daemon waits for which has timed out; if an incarnation is given, those of its earlier processes.
	 * Returns their number.
	 */
	endJobsOfEntry(entryId: string, currentIncarnation?: string): number;
};

export type SubmittedJobsOptions = {
	jobTable: JobTable;
	/** The memory for open jobs and results; unlimited if it is missing. */
	jobMemoryBytes?: number | undefined;
	metrics: MetricSink;
	jobLog: JobLog;
	intake: JobIntake;
	recovery: JobRecovery;
	schedulePass: () => void;
	refuse: (job: PlacedJob, reason: RefusalReason, waitMs: number) => void;
	endJob: (job: PlacedJob, result: JobOutcome) => void;
	stopRuns: (job: PlacedJob) => void;
	/** Called with the result of a job and the entry daemon that waits for it. */
	onResult: (entryId: string, jobId: string, result: JobOutcome) => void;
};

/** How much of the memory for jobs those may use that an earlier placer may have started. */
const takeoverFactor = 1.5;

/**
 * Creates the submissions of a placer.
 * @param options - The open jobs, and how they begin and end.
 *
 * @example
 * ```ts
 * const submittedJobs = createSubmittedJobs(options);
 * submittedJobs.submit('entry-1', message);
 * submittedJobs.withdraw('job', message.submissionId); // The job is cancelled, since nobody else waits for it.
 * ```
 */
export function createSubmittedJobs(options: SubmittedJobsOptions): SubmittedJobs {
	const {jobTable, jobMemoryBytes = Number.POSITIVE_INFINITY, metrics, jobLog, intake, recovery, schedulePass, refuse, endJob, stopRuns, onResult} = options;

	function addJob(entryId: string, message: PlacementMessageOf<'placement.submit'>): void {
		const job = intake.createJob(entryId, message);
		jobTable.addJob(job);
		recovery.addJob(job);
		jobLog.recordArrival(job, message);
		schedulePass();
	}

	/** Whether there is memory for a job. At a takeover, there is more for those that an earlier placer may have started, so that their runs are found. */
	function hasRoom({request, mayHaveStarted}: PlacementMessageOf<'placement.submit'>): boolean {
		const maxBytes = mayHaveStarted ? jobMemoryBytes * takeoverFactor : jobMemoryBytes;
		return jobTable.getMemoryBytes() + getJobMemoryBytes(request) <= maxBytes;
	}

	/**
	 * Ends a job without creating its tasks: as refused, or as unknown if an earlier placer may have started it. The result is kept,
	 * so that a copy of the submission that arrives later gets it, too.
	 */
	function endForMemory(entryId: string, message: PlacementMessageOf<'placement.submit'>): void {
		const job = intake.createJobWithoutTasks(entryId, message);
		metrics.increment('limit-open-tasks');
		jobTable.addJob(job);
		if (message.mayHaveStarted) {
			endJob(job, {outcome: 'unknown'});
		} else {
			refuse(job, 'overload', 0);
		}
	}

	function joinJob(job: PlacedJob, entryId: string, message: PlacementMessageOf<'placement.submit'>): void {
		job.waiting.add(message.submissionId, {entryId, incarnation: message.incarnation}, message.sequence);
		updateEntry(job);
		jobTable.addSubmission(job, message.submissionId);
		recovery.handleResubmission(job, entryId, message);
		schedulePass();
	}

	/** Lets the entry daemon of the latest submission that still waits receive the result. Returns false if nobody waits. */
	function updateEntry(job: PlacedJob): boolean {
		const entryId = job.waiting.findLastEntryId();
		job.entryId = entryId ?? job.entryId;
		return entryId !== undefined;
	}

	/**
	 * Cancels a job that nobody waits for. The result is not sent: a caller that has come again meanwhile through the same entry
	 * daemon would be told that its new submission was cancelled. Nor is one that asks after all, because it was not heard for a while.
	 */
	function cancelAbandonedJob(job: PlacedJob): void {
		jobTable.endJob(job, {outcome: 'unknown'});
		stopRuns(job);
		jobLog.recordEnd(job, {outcome: 'failed', reason: 'cancelled'});
	}

	/** Removes submissions of the open jobs, where that is due, and finds the jobs that nobody waits for any more. */
	function findAbandonedJobs(removeSubmissions: (job: PlacedJob) => boolean): PlacedJob[] {
		const abandoned: PlacedJob[] = [];
		for (const job of jobTable.getJobs()) {
			if (removeSubmissions(job) && !updateEntry(job)) {
				abandoned.push(job);
			}
		}

		return abandoned;
	}

	return {
		submit(entryId, message) {
			const {jobId} = message.request;
			const known = jobTable.findJob(jobId);
			const result = jobTable.findResult(jobId, message.submissionId);
			if (known !== undefined) {
				joinJob(known, entryId, message);
			} else if (result !== undefined) {
				onResult(entryId, jobId, result);
			} else if (hasRoom(message)) {
				addJob(entryId, message);
			} else {
				endForMemory(entryId, message);
			}
		},
		cancel(jobId) {
			const job = jobTable.findJob(jobId);
			if (job !== undefined) {
				endJob(job, {outcome: 'failed', reason: 'cancelled'});
			}
		},
		abort(jobId) {
			const job = jobTable.findJob(jobId);
			if (job !== undefined) {
				endJob(job, {outcome: 'unknown'});
			}
		},
		withdraw(jobId, submissionId) {
			const job = jobTable.findJob(jobId);
			job?.waiting.remove(submissionId);
			if (job !== undefined && !updateEntry(job)) {
				cancelAbandonedJob(job);
			}
		},
		withdrawUnlisted(list) {
			const abandoned = findAbandonedJobs(job => !list.jobIds.has(job.request.jobId) && job.waiting.removeUnlisted(list));
			for (const job of abandoned) {
				cancelAbandonedJob(job);
			}

			return abandoned.length;
		},
		endJobsOfEntry(entryId, currentIncarnation) {
			const abandoned = findAbandonedJobs(job => {
				const wasWaiting = job.waiting.removeEntry(entryId, currentIncarnation);
				job.mayBeElsewhere ||= wasWaiting && currentIncarnation === undefined;
				return wasWaiting;
			});
			for (const job of abandoned) {
				if (job.hasStarted) {
					endJob(job, {outcome: 'unknown'});
				} else {
					refuse(job, 'no-placer', 0);
				}
			}

			return abandoned.length;
		},
	};
}
