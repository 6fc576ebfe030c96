import {createHash} from 'node:crypto';
import type {Job} from '@camphortack/core';

/** 128 bits tell contents apart; what a caller could forge in fewer, it could forge only against itself. */
const hashBytes = 16;

/**
 * Gets a hash of what a job asks for. Two copies of a job have the same hash whatever the order of their keys.
 * The id and the deadline are left out: a resubmission may wait for a shorter time.
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

	// `Object.fromEntries` defines own keys, so that a key `__proto__` counts like any other.
	return Object.fromEntries(Object.entries(value).toSorted(([left], [right]) => left < right ? -1 : 1));
}
