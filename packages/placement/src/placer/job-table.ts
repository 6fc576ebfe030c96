import type {TimerService} from '@camphortack/core';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import type {JobOutcome} from '../messages/job-outcome.js';

/** The open jobs, their tasks, and the results of recently ended jobs. */
export type JobTable = {
	addJob(job: PlacedJob): void;
	/** Records a further submission of an open job. */
	addSubmission(job: PlacedJob, submissionId: string): void;
	findJob(jobId: string): PlacedJob | undefined;
	findTask(taskName: string): {job: PlacedJob; task: PlacedTask} | undefined;
	getJobs(): Iterable<PlacedJob>;
	/** Gets roughly what the open jobs and the results take. */
	getMemoryBytes(): number;
	/** Moves a job from the open jobs to the ended jobs. */
	endJob(job: PlacedJob, result: JobOutcome): void;
	/**
	 * Finds the result of an ended job. A result that is not reusable is found only for the submissions that it belongs
	 * to. For a submission that a later one replaced, the result is unknown: its message may be a repetition, and tasks may have
	 * run for it.
	 */
	findResult(jobId: string, submissionId?: string): JobOutcome | undefined;
};

type EndedJob = {
	result: JobOutcome;
	submissions: Submissions;
	endedAtMs: number;
};

/** The ids of a job's submissions. */
type Submissions = {
	/** Those that were joined in the job. */
	current: Set<string>;
	/** Those of earlier jobs of the same id, which have ended. */
	earlier: ReadonlySet<string>;
};

/** How long results are kept for callers that did not receive the response and ask again. */
const resultRetentionMs = 15_000;
/** Roughly what a result takes, with the ids of its submissions. */
const resultBytes = 512;

/**
 * Creates an empty table.
 * @param timers - The clock.
 */
export function createJobTable(timers: TimerService): JobTable {
	const jobs = new Map<string, PlacedJob>();
	const tasks = new Map<string, {job: PlacedJob; task: PlacedTask}>();
	const results = new Map<string, EndedJob>();
	const submissionsByJob = new Map<string, Submissions>();
	let openJobBytes = 0;

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
			openJobBytes += job.memoryBytes;
			const ended = results.get(job.request.jobId)?.submissions;
			results.delete(job.request.jobId);
			submissionsByJob.set(job.request.jobId, {
				current: new Set([job.submissionId]), earlier: new Set(ended === undefined ? [] : [...ended.current, ...ended.earlier]),
			});
			for (const task of job.tasks) {
				tasks.set(task.name, {job, task});
			}
		},
		addSubmission(job, submissionId) {
			submissionsByJob.get(job.request.jobId)?.current.add(submissionId);
		},
		findJob: jobId => jobs.get(jobId),
		findTask: taskName => tasks.get(taskName),
		getJobs: () => jobs.values(),
		getMemoryBytes() {
			removeExpiredResults();
			return openJobBytes + (results.size * resultBytes);
		},
		endJob(job, result) {
			job.isEnded = true;
			if (jobs.delete(job.request.jobId)) {
				openJobBytes -= job.memoryBytes;
			}

			for (const task of job.tasks) {
				tasks.delete(task.name);
			}

			const submissions = submissionsByJob.get(job.request.jobId) ?? {current: new Set(), earlier: new Set()};
			submissionsByJob.delete(job.request.jobId);
			results.set(job.request.jobId, {result, submissions, endedAtMs: timers.getNowMs()});
			removeExpiredResults();
		},
		findResult(jobId, submissionId) {
			const ended = results.get(jobId);
			if (ended === undefined || isReusable(ended.result)) {
				return ended?.result;
			}

			if (submissionId === undefined) {
				return undefined;
			}

			if (ended.submissions.current.has(submissionId)) {
				return ended.result;
			}

			return ended.submissions.earlier.has(submissionId) ? {outcome: 'unknown'} : undefined;
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
