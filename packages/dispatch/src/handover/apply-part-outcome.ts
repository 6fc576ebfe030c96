import type {FailureReason, RefusedOutcome} from '@camphortack/core';
import type {OpenTask} from '../jobs/open-job.js';
import type {OutcomeMessage} from '../messages/dispatch-messages.js';

/** The result of a part. `lost`: its daemon is gone or sent an inconsistent outcome. */
export type PartResult
	= | {kind: 'done'}
		| {kind: 'failed'; reason: FailureReason}
		| {kind: 'refused'; code: RefusedOutcome['code']}
		| {kind: 'lost'};

/**
 * Updates the tasks of a part from the outcome that its daemon sent.
 * @param part - The part.
 * @param message - The message with the outcome.
 */
export function applyPartOutcome(part: {tasks: readonly OpenTask[]}, {outcome, runTimesMs}: OutcomeMessage): PartResult {
	for (const [position, task] of part.tasks.entries()) {
		task.runTimeMs += runTimesMs[position] ?? 0;
	}

	if (outcome.outcome === 'refused') {
		return {kind: 'refused', code: outcome.code};
	}

	if (outcome.outcome === 'complete') {
		return applyResults(part.tasks, outcome.results);
	}

	const states = new Map(outcome.tasks.map(task => [task.index, task]));
	for (const task of part.tasks) {
		const reported = states.get(task.index);
		task.error = reported?.error;
		if (reported?.state === 'done') {
			task.state = reported.error === undefined ? 'done' : 'error';
		} else {
			task.state = reported?.state === 'not-run' ? 'not-run' : 'lost';
		}
	}

	return {kind: 'failed', reason: outcome.reason};
}

function applyResults(tasks: readonly OpenTask[], results: ReadonlyArray<OpenTask['result']>): PartResult {
	if (results.length !== tasks.length) {
		return {kind: 'lost'};
	}

	for (const [position, task] of tasks.entries()) {
		task.state = 'done';
		task.result = results[position];
	}

	return {kind: 'done'};
}
