import type {FailedOutcome, JobOutcome} from '@camphortack/core';

/**
 * Formats the outcome of a job.
 * @param outcome - The outcome.
 */
export function formatOutcome(outcome: JobOutcome): string {
	switch (outcome.outcome) {
		case 'complete': {
			const results = outcome.results.map((result, index) => `  task ${index}: ${JSON.stringify(result)}`);
			return [`${outcome.id} is complete: ${outcome.results.length} tasks`, ...results].join('\n');
		}

		case 'failed': {
			return formatFailure(outcome);
		}

		case 'refused': {
			const scope = outcome.notRun === 'job' ? 'no copy of the job was started' : 'this copy was not started; it is unknown whether an earlier copy ran';
			const retry = outcome.retryAfterMs === undefined ? '' : `; try again in ${outcome.retryAfterMs} ms`;
			return `${outcome.id ?? 'the job'} was refused (${outcome.code}): ${outcome.message} (${scope}${retry})`;
		}
	}
}

function formatFailure(outcome: FailedOutcome): string {
	const counts = new Map<string, number>();
	for (const {state} of outcome.tasks) {
		counts.set(state, (counts.get(state) ?? 0) + 1);
	}

	const summary = [...counts].map(([state, count]) => `${count} ${state}`).join(', ');
	const tasks = outcome.tasks.map(task => `  task ${task.index}: ${task.state}${task.error === undefined ? '' : `, ${task.error}`}`);
	return [`${outcome.id} failed (${outcome.reason}): ${summary}`, ...tasks].join('\n');
}
