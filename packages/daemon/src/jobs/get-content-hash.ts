import {createHash} from 'node:crypto';
import type {JsonValue, JobSubmission} from '@camphortack/core';

/**
 * Gets the hash of a submission's content. Its id and its deadline do not count, nor does the order of keys.
 * @param submission - The submission.
 */
export function getContentHash(submission: JobSubmission): string {
	const {customer, service, idempotent, tasks} = submission;
	const content = JSON.stringify([customer, service, idempotent, tasks], sortKeys);
	return createHash('sha256').update(content).digest('base64url');
}

function sortKeys(_key: string, value: JsonValue): JsonValue {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return value;
	}

	return Object.fromEntries(Object.entries(value).toSorted(([left], [right]) => (left < right ? -1 : 1)));
}
