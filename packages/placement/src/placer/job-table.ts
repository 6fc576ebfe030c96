import type {TimerService} from '@camphortack/core';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import type {JobOutcome} from '../messages/job-outcome.js';

/** The open jobs, their tasks, and the results of recently ended jobs. */
export type JobTable = {
	addJob(job: PlacedJob): void;
	findJob(jobId: string): PlacedJob | undefined;
	findTask(taskName: string): {job: PlacedJob; task: PlacedTask} | undefined;
	getJobs(): Iterable<PlacedJob>;
	/** Moves a job from the open jobs to the ended jobs. */
	endJob(job: PlacedJob, result: JobOutcome): void;
	/**
	 * Finds the result of an ended job. A result that is not reusable is found only for the submission that it belongs
	 * to.
	 */
	findResult(jobId: string, submissionId?: string): JobOutcome | undefined;
};

type EndedJob = {
	result: JobOutcome;
	submissionId: string;
	endedAtMs: number;
};

/** How long results are kept for callers that did not receive the response and ask again. */
const resultRetentionMs = 15_000;

/**
 * Creates an empty table.
 * @param timers - The clock.
 */
export function createJobTable(timers: TimerService): JobTable {
	const jobs = new Map<string, PlacedJob>();
	const tasks = new Map<string, {job: PlacedJob; task: PlacedTask}>();
	const results = new Map<string, EndedJob>();

	/** The results are ordered by end time, so the oldest come first. */
	function removeExpiredResults(): void {
		const oldestMs = timers.getNowMs() - resultRetentionMs;
		for (const [jobId, {endedAtMs}] of results) {
			if (endedAtMs > oldestMs) {
				return;
			}

			results.delete(jobId);
		}
	}

	return {
		addJob(job) {
			jobs.set(job.request.jobId, job);
			results.delete(job.request.jobId);
			for (const task of job.tasks) {
				tasks.set(task.name, {job, task});
			}
		},
		findJob: jobId => jobs.get(jobId),
		findTask: taskName => tasks.get(taskName),
		getJobs: () => jobs.values(),
		endJob(job, result) {
			job.isEnded = true;
			jobs.delete(job.request.jobId);
			for (const task of job.tasks) {
				tasks.delete(task.name);
			}

			results.set(job.request.jobId, {result, submissionId: job.submissionId, endedAtMs: timers.getNowMs()});
			removeExpiredResults();
		},
		findResult(jobId, submissionId) {
			const ended = results.get(jobId);
			return ended !== undefined && (isReusable(ended.result) || ended.submissionId === submissionId) ? ended.result : undefined;
		},
	};
}

/**
 * Whether the result applies to later submissions too. After a refusal, an unknown result or a cancellation, a new
 * submission runs the job again.
 */
function isReusable(result: JobOutcome): boolean {
	return result.outcome === 'completed' || (result.outcome === 'failed' && result.reason === 'attempts-used');
}
