import type {FailureReason, RefusedOutcome} from '@camphortack/core';
import type {OpenTask} from '../jobs/open-job.js';
import type {OutcomeMessage} from '../messages/dispatch-messages.js';

/** What became of a part. `lost`: its daemon is gone or what it says is not to be understood. */
export type PartResult
	= | {kind: 'done'}
		| {kind: 'failed'; reason: FailureReason}
		| {kind: 'refused'; code: RefusedOutcome['code']}
		| {kind: 'lost'};

/**
 * Brings the tasks of a part up to date with the outcome that its daemon sent.
 * @param part - The part.
 * @param message - The outcome.
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
		const known = states.get(task.index);
		task.error = known?.error;
		if (known?.state === 'done') {
			task.state = known.error === undefined ? 'done' : 'error';
		} else {
			task.state = known?.state === 'not-run' ? 'given-up' : 'lost';
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
