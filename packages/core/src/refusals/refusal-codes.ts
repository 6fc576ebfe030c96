/** How far a refusal rules out a run: no copy of the job ever started (`job`), or only this copy did not (`this-copy`). */
export type NotRunScope = 'job' | 'this-copy';

type RefusalDescription = {
	httpStatus: number;
	/** The delay before the caller may retry, in milliseconds; undefined if a retry is of no use. */
	retryAfterMs?: number;
	meaning: string;
};

/** All refusal reasons, as listed in docs/METRICS.md. Each has a counter `refused-<code>`. */
export const refusalCodes = {
	'bad-input': {httpStatus: 400, meaning: 'The body does not match its schema; all findings are listed.'},
	unauthorized: {httpStatus: 401, meaning: 'The token is missing or unknown.'},
	'unknown-customer': {httpStatus: 404, meaning: 'No customer of this name is in the configuration in force.'},
	'unknown-service': {httpStatus: 404, meaning: 'No service of this name is in the configuration in force.'},
	'unknown-job': {httpStatus: 404, meaning: 'No job of this id is known here.'},
	'content-conflict': {httpStatus: 409, meaning: 'A job of the same id but with other content was accepted earlier.'},
	'payload-too-large': {httpStatus: 413, meaning: 'The body, a task or the number of tasks is over its bound.'},
	'never-fits': {httpStatus: 422, meaning: 'No backend server of the pool is large enough for a task; waiting would not help.'},
	'limit-rate': {httpStatus: 429, retryAfterMs: 1000, meaning: 'A declared rate limit is used up.'},
	'limit-in-flight': {httpStatus: 429, retryAfterMs: 500, meaning: 'A declared limit of tasks in flight is used up.'},
	'limit-worker-seconds': {httpStatus: 429, retryAfterMs: 60_000, meaning: 'A declared limit of worker-seconds an hour is used up.'},
	'queue-full': {httpStatus: 503, retryAfterMs: 1000, meaning: 'The queue is at its bound of tasks or bytes.'},
	'no-backend-server': {httpStatus: 503, retryAfterMs: 1000, meaning: 'No backend server serves the service at present.'},
	draining: {httpStatus: 503, retryAfterMs: 100, meaning: 'This daemon is stopping; another one takes the request.'},
	'no-memory': {httpStatus: 503, retryAfterMs: 1000, meaning: 'The open requests of this daemon use up their memory.'},
	'no-configuration': {httpStatus: 503, retryAfterMs: 1000, meaning: 'This daemon has no configuration in force yet.'},
	'register-unreachable': {httpStatus: 503, retryAfterMs: 1000, meaning: 'The owner of the id cannot be reached.'},
	'register-epoch': {httpStatus: 503, retryAfterMs: 60_000, meaning: 'The owner of the id lost its records and cannot tell whether the id ran.'},
	'register-full': {httpStatus: 503, retryAfterMs: 60_000, meaning: 'The owner of the id holds as many records as it may and takes no new id.'},
	'outcome-expired': {httpStatus: 409, meaning: 'The job ended earlier, and its outcome is no longer stored.'},
	'ticket-expired': {httpStatus: 410, meaning: 'The ticket is older than the retention; take a new ticket.'},
	'ticket-owner-gone': {httpStatus: 503, meaning: 'The daemon that issued the ticket is gone; take a new ticket.'},
	'deadline-unreachable': {httpStatus: 504, retryAfterMs: 1000, meaning: 'The deadline cannot be met, or passed before the first start.'},
	cancelled: {httpStatus: 409, meaning: 'The caller cancelled the job before its first start.'},
} as const satisfies Record<string, RefusalDescription>;

export type RefusalCode = keyof typeof refusalCodes;

/**
 * Gets the description of a refusal code.
 * @param code - The code.
 */
export function getRefusalDescription(code: RefusalCode): RefusalDescription {
	return refusalCodes[code];
}

// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The keys of a constant object are known.
export const refusalCodeNames = Object.keys(refusalCodes) as RefusalCode[];
