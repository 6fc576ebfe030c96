import type {TimerService} from '@camphortack/core';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import type {JobOutcome} from '../messages/placement-messages.js';

/** The jobs in hand, the tasks that run, and the results of jobs that have ended. */
export type JobLedger = {
	addJob(job: PlacedJob): void;
	findJob(jobId: string): PlacedJob | undefined;
	findTask(taskName: string): {job: PlacedJob; task: PlacedTask} | undefined;
	getJobs(): Iterable<PlacedJob>;
	/** Moves a job from the open ones to the ended ones. */
	endJob(job: PlacedJob, result: JobOutcome): void;
	/** Finds the result of a job; that of a refused one only for copies of the submission that was refused. */
	findResult(jobId: string, submissionId?: string): JobOutcome | undefined;
};

type EndedJob = {
	result: JobOutcome;
	submissionId: string;
	endedAtMs: number;
};

/** How long a result stays for a caller that lost the answer and asks again. */
const resultRetentionMs = 15_000;

/**
 * Creates the ledger.
 * @param timers - The time.
 */
export function createJobLedger(timers: TimerService): JobLedger {
	const jobs = new Map<string, PlacedJob>();
	const tasks = new Map<string, {job: PlacedJob; task: PlacedTask}>();
	const results = new Map<string, EndedJob>();

	/** Results are in the order of their ends, so the oldest come first. */
	function forgetOldResults(): void {
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
			forgetOldResults();
		},
		findResult(jobId, submissionId) {
			const ended = results.get(jobId);
			return ended !== undefined && (isLasting(ended.result) || ended.submissionId === submissionId) ? ended.result : undefined;
		},
	};
}

/** A caller may come again after a refusal, an unknown end or a stop, and then begins anew. */
function isLasting(result: JobOutcome): boolean {
	return result.outcome === 'completed' || (result.outcome === 'failed' && result.reason === 'attempts-used');
}
