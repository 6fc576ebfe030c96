import type {JobOutcome} from '@camphortack/core';

const serializedOutcomes = new WeakMap<JobOutcome, string>();

/**
 * Serializes an outcome as JSON. The text is cached, so that an outcome is serialized once for all callers that wait for it.
 * @param outcome - The outcome; it must not be modified afterwards.
 */
export function serializeOutcome(outcome: JobOutcome): string {
	const cached = serializedOutcomes.get(outcome);
	if (cached !== undefined) {
		return cached;
	}

	const text = JSON.stringify(outcome);
	serializedOutcomes.set(outcome, text);
	return text;
}
