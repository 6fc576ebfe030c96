import type {JobOutcome} from '@camphortack/core';

const texts = new WeakMap<JobOutcome, string>();

/**
 * Gets an outcome as JSON. It is written once, however many callers wait for it.
 * @param outcome - The outcome; it is not changed afterwards.
 */
export function getOutcomeText(outcome: JobOutcome): string {
	const known = texts.get(outcome);
	if (known !== undefined) {
		return known;
	}

	const text = JSON.stringify(outcome);
	texts.set(outcome, text);
	return text;
}
