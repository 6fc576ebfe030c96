import {
	formatFinding, getSchemaFindings, jobSubmissionSchema, requestSubmissionSchema, type Finding, type JobSubmission, type RequestSubmission,
} from '@camphortack/core';
import {CommandError} from '../errors/command-error.js';
import {exitCodes} from '../exit-codes.js';

/** A job or a single request, and the path that it is sent to. */
export type Submission
	= | {path: '/v1/jobs'; body: JobSubmission}
		| {path: '/v1/requests'; body: RequestSubmission};

/**
 * Parses a submission: a job has `tasks`, a single request has a `payload`.
 * @param file - The path of the file, for findings.
 * @param text - The submission as JSON.
 * @throws CommandError with all findings.
 */
export function parseSubmissionOrThrow(file: string, text: string): Submission {
	const input = parseJsonOrThrow(file, text);
	if (typeof input === 'object' && input !== null && 'tasks' in input) {
		const job = jobSubmissionSchema.safeParse(input);
		return job.success ? {path: '/v1/jobs', body: job.data} : throwFindings(getSchemaFindings(job.error, {file}));
	}

	const request = requestSubmissionSchema.safeParse(input);
	return request.success ? {path: '/v1/requests', body: request.data} : throwFindings(getSchemaFindings(request.error, {file}));
}

function parseJsonOrThrow(file: string, text: string): unknown {
	try {
		return JSON.parse(text);
	} catch (error) {
		const message = error instanceof Error ? error.message : String(error);
		return throwFindings([{code: 'not-json', message: `is not JSON: ${message}`, place: {file}}]);
	}
}

function throwFindings(findings: readonly Finding[]): never {
	const lines = findings.map(finding => `  ${formatFinding(finding)}`);
	throw new CommandError('findings', ['the submission is not valid; nothing was sent:', ...lines].join('\n'), exitCodes.failed, {findings});
}
