import {
	getRefusalDescription, type Finding, type NotRunScope, type RefusalCode, type RefusedOutcome,
} from '@camphortack/core';

export type RefusalDetails = {
	id?: string;
	/** Defaults to `job`, which is correct if the request never reached the dispatcher and does not carry the id of an earlier submission. */
	notRun?: NotRunScope;
	message?: string;
	retryAfterMs?: number;
	findings?: readonly Finding[];
};

/**
 * Creates a refusal with the documented meaning and retry hint of its code.
 * @param code - The reason for the refusal.
 * @param details - Overrides of the defaults of the code.
 *
 * @example
 * ```ts
 * createRefusal('draining', {id: 'job-1', notRun: 'this-copy'});
 * ```
 */
export function createRefusal(code: RefusalCode, details: RefusalDetails = {}): RefusedOutcome {
	const description = getRefusalDescription(code);
	return {
		outcome: 'refused',
		id: details.id,
		code,
		notRun: details.notRun ?? 'job',
		message: details.message ?? description.meaning,
		retryAfterMs: details.retryAfterMs ?? description.retryAfterMs,
		findings: details.findings?.map(finding => ({...finding, place: {...finding.place}})),
	};
}
