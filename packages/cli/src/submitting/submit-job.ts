import type {JobOutcome} from '@camphortack/core';
import type {ApiResponse, ApiClient, ApiRequest} from '../api/api-client.js';
import {ticketsResponseSchema} from '../api/api-schemas.js';
import {getResponseOrThrow} from '../api/get-response.js';
import {trySend} from '../api/try-send.js';
import {CommandError} from '../errors/command-error.js';
import {exitCodes} from '../exit-codes.js';
import {retryUntilDefined} from '../utils/retry-until-defined.js';
import {findOutcomeOrThrow} from './get-outcome.js';
import type {Submission} from './parse-submission.js';

const maxAttempts = 5;
const waitBetweenAttemptsMs = 500;
/** The time that a daemon may take to respond after the deadline. */
const responseGraceMs = 10_000;
const pollWaitMs = 5000;

export type SubmitOptions = {
	client: ApiClient;
	wait(durationMs: number): Promise<void>;
	onProgress(text: string): void;
};

/**
 * Gets the id for a submission: its own id, or a new ticket.
 * The id allows the submission to be resent and still start at most once.
 */
export async function getSubmissionId(client: ApiClient, submission: Submission): Promise<string> {
	if (submission.body.id !== undefined) {
		return submission.body.id;
	}

	const request: ApiRequest = {
		method: 'POST',
		path: '/v1/tickets',
		body: {count: 1},
		isSafe: true,
	};
	const {tickets} = await getResponseOrThrow(client, request, ticketsResponseSchema);
	return tickets[0]!;
}

/**
 * Submits a job and waits for its outcome. Resends the submission with the same id if the response is lost.
 * @param id - The id of the submission.
 * @param submission - The job or request.
 * @param options - The client, the timer and the progress callback.
 * @throws CommandError if the daemon is unreachable or the outcome remains unknown.
 */
export async function submitJobOrThrow(id: string, submission: Submission, options: SubmitOptions): Promise<JobOutcome> {
	const request: ApiRequest = {
		method: 'POST',
		path: submission.path,
		body: {...submission.body, id},
		responseTimeoutMs: submission.body.deadlineMs + responseGraceMs,
	};
	let mayHaveStarted = false;
	const response = await retryUntilDefined(maxAttempts, async attempt => {
		if (attempt > 1) {
			options.onProgress(`the response was lost; resending ${id} (attempt ${attempt} of ${maxAttempts})`);
			await options.wait(waitBetweenAttemptsMs);
		}

		const received = await trySend(options.client, request, mayHaveStarted);
		mayHaveStarted ||= received === undefined;
		return received;
	});
	if (response === undefined) {
		throw createUnknownError(id, 'no response was received');
	}

	const outcome = mayHaveStarted ? findOutcomeOfResendOrThrow(response, request, id) : findOutcomeOrThrow(response, request);
	return outcome ?? waitForOutcomeOrThrow(id, submission.body.deadlineMs, options);
}

/** Unless it states otherwise, a refusal of a resend or of a query does not tell whether an earlier copy of the job started. */
function findOutcomeOfResendOrThrow(response: ApiResponse, request: ApiRequest, id: string): JobOutcome | undefined {
	const outcome = findOutcomeOfSentOrThrow(response, request, id);
	if (outcome?.outcome === 'refused' && outcome.notRun === 'this-copy') {
		throw createUnknownError(id, `the daemon refused the request (${outcome.code}): ${outcome.message}`);
	}

	return outcome;
}

async function waitForOutcomeOrThrow(id: string, deadlineMs: number, options: SubmitOptions): Promise<JobOutcome> {
	const request: ApiRequest = {
		method: 'GET',
		path: `/v1/jobs/${encodeURIComponent(id)}?waitMs=${pollWaitMs}`,
		responseTimeoutMs: pollWaitMs + responseGraceMs,
	};
	const maxPolls = Math.ceil((deadlineMs + responseGraceMs) / pollWaitMs);
	const outcome = await retryUntilDefined(maxPolls, async () => {
		options.onProgress(`${id} is running`);
		const response = await trySend(options.client, request, true);
		if (response !== undefined) {
			return findOutcomeOfResendOrThrow(response, request, id);
		}

		await options.wait(waitBetweenAttemptsMs);
		return undefined;
	});
	if (outcome === undefined) {
		throw createUnknownError(id, 'no outcome was received before its deadline');
	}

	return outcome;
}

/** Finds the outcome of a job that may have started. If the response contains none, the outcome is unknown. */
function findOutcomeOfSentOrThrow(response: ApiResponse, request: ApiRequest, id: string): JobOutcome | undefined {
	try {
		return findOutcomeOrThrow(response, request);
	} catch (error) {
		throw error instanceof CommandError ? createUnknownError(id, error.message) : error;
	}
}

function createUnknownError(id: string, reason: string): CommandError {
	const message = `it is unknown whether ${id} ran: ${reason}. Check with \`camphortack job ${id}\`; submitting it again with this id is safe.`;
	return new CommandError('unknown', message, exitCodes.unknown, {id});
}
