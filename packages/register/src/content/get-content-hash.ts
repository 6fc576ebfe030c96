import {createHash} from 'node:crypto';
import type {Job} from '@camphortack/core';

/** 128 bits make accidental collisions negligible. A caller that forges a collision affects only its own jobs. */
const hashBytes = 16;

/**
 * Hashes the content of a job. The hash does not depend on the order of object keys.
 * The id and the deadline are excluded, because a resubmission may have a shorter deadline.
 * @param job - The job.
 *
 * @example
 * ```ts
 * getContentHash(job) === getContentHash({...job, deadlineMs: 500}); // true
 * ```
 */
export function getContentHash(job: Job): string {
	const {
		customer, service, idempotent, tasks,
	} = job;
	const text = JSON.stringify({
		customer,
		service,
		idempotent,
		tasks,
	}, sortKeys);
	return createHash('sha256').update(text).digest().subarray(0, hashBytes).toString('base64url');
}

function sortKeys(_key: string, value: unknown): unknown {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return value;
	}

	// `Object.fromEntries` defines own properties, so a `__proto__` key is hashed like any other.
	return Object.fromEntries(Object.entries(value).toSorted(([left], [right]) => left < right ? -1 : 1));
}
