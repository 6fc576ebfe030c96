import {
	getRefusalDescription, type CompleteOutcome, type FailedOutcome, type FailureReason, type RefusalCode, type RefusedOutcome,
	type TaskOutcome,
} from '@camphortack/core';
import type {OpenJob, OpenTask} from './open-job.js';

/**
 * Creates the answer of a job whose tasks are all done.
 * @param job - The job.
 */
export function createCompleteOutcome(job: OpenJob): CompleteOutcome {
	return {outcome: 'complete', id: job.id, results: job.tasks.map(task => task.result ?? null)};
}

/**
 * Creates the answer of a job that was given up, with what is known of each task.
 * @param job - The job.
 * @param reason - Why it was given up.
 */
export function createFailedOutcome(job: OpenJob, reason: FailureReason): FailedOutcome {
	return {
		outcome: 'failed', id: job.id, reason, tasks: job.tasks.map(task => createTaskOutcome(task)),
	};
}

/**
 * Creates the answer to a job of which this copy started nothing.
 * @param id - The job.
 * @param code - Why it is refused.
 * @param retryAfterMs - When to come back, where it is known better than from the code.
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
		case 'given-up': {
			return {index: task.index, state: task.mayHaveRun ? 'may-have-run' : 'not-run'};
		}
	}
}
