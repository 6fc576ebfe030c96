import {
	getRefusalDescription, type CompleteOutcome, type FailedOutcome, type FailureReason, type RefusalCode, type RefusedOutcome,
	type TaskOutcome,
} from '@camphortack/core';
import type {OpenJob, OpenTask} from './open-job.js';

/**
 * Creates the outcome of a job whose tasks have all succeeded.
 * @param job - The job.
 */
export function createCompleteOutcome(job: OpenJob): CompleteOutcome {
	return {outcome: 'complete', id: job.id, results: job.tasks.map(task => task.result ?? null)};
}

/**
 * Creates the outcome of an aborted job, with the known state of each task.
 * @param job - The job.
 * @param reason - Why the job was aborted.
 */
export function createFailedOutcome(job: OpenJob, reason: FailureReason): FailedOutcome {
	return {
		outcome: 'failed', id: job.id, reason, tasks: job.tasks.map(task => createTaskOutcome(task)),
	};
}

/**
 * Creates the outcome of a refused job, no task of which was started for this submission.
 * @param id - The id of the job.
 * @param code - Why the job is refused.
 * @param retryAfterMs - When to retry, if known more precisely than the default for the code.
 */
export function createRefusedOutcome(id: string, code: RefusalCode, retryAfterMs?: number): RefusedOutcome {
	const description = getRefusalDescription(code);
	return {
		outcome: 'refused',
		id,
		code,
		notRun: 'this-copy',
		message: description.meaning,
		retryAfterMs: retryAfterMs ?? description.retryAfterMs,
	};
}

function createTaskOutcome(task: OpenTask): TaskOutcome {
	switch (task.state) {
		case 'done': {
			return {index: task.index, state: 'done'};
		}

		case 'error': {
			return {index: task.index, state: 'done', error: task.error ?? 'unknown error'};
		}

		case 'running':
		case 'handed-over':
		case 'lost': {
			return {index: task.index, state: 'may-have-run'};
		}

		case 'queued':
		case 'not-run': {
			return {index: task.index, state: task.mayHaveRun ? 'may-have-run' : 'not-run'};
		}
	}
}
