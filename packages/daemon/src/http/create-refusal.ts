import {
	getRefusalDescription, type Finding, type NotRunScope, type RefusalCode, type RefusedOutcome,
} from '@camphortack/core';

export type RefusalDetails = {
	id?: string;
	/** The default is `job`: right where the request never reached the part that starts tasks and has no id of an earlier copy. */
	notRun?: NotRunScope;
	message?: string;
	retryAfterMs?: number;
	findings?: readonly Finding[];
};

/**
 * Creates a refusal with its documented meaning and retry hint.
 * @param code - Why the request is refused.
 * @param details - What differs from the code's defaults.
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
