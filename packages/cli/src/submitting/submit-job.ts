import type {JobOutcome} from '@camphortack/core';
import type {ApiAnswer, ApiClient, ApiRequest} from '../api/api-client.js';
import {ticketsAnswerSchema} from '../api/api-schemas.js';
import {getAnswerOrThrow} from '../api/get-answer.js';
import {sendOrFindLost} from '../api/send-or-find-lost.js';
import {CommandError} from '../errors/command-error.js';
import {exitCodes} from '../exit-codes.js';
import {findInTurn} from '../utils/find-in-turn.js';
import {findOutcomeOrThrow} from './get-outcome.js';
import type {Submission} from './parse-submission.js';

const mostAttempts = 5;
const waitBetweenAttemptsMs = 500;
/** How long a daemon may take beyond the deadline to answer. */
const answerGraceMs = 10_000;
const pollWaitMs = 5000;

export type SubmitOptions = {
	client: ApiClient;
	wait(durationMs: number): Promise<void>;
	onProgress(text: string): void;
};

/**
 * Gets the id under which a submission is sent: its own, or a fresh ticket.
 * With an id, the submission can be sent again and still starts at most once.
 */
export async function getSubmissionId(client: ApiClient, submission: Submission): Promise<string> {
	if (submission.body.id !== undefined) {
		return submission.body.id;
	}

	const request: ApiRequest = {
		method: 'POST',
		path: '/v1/tickets',
		body: {count: 1},
		isWithoutEffect: true,
	};
	const {tickets} = await getAnswerOrThrow(client, request, ticketsAnswerSchema);
	return tickets[0]!;
}

/**
 * Submits a job and waits for its outcome. Sends it again, with the same id, when an answer was lost.
 * @param id - The id.
 * @param submission - The job or request.
 * @param options - The client and how to wait.
 * @throws CommandError if the daemon cannot be reached, or the outcome stays unknown.
 */
export async function submitJobOrThrow(id: string, submission: Submission, options: SubmitOptions): Promise<JobOutcome> {
	const request: ApiRequest = {
		method: 'POST',
		path: submission.path,
		body: {...submission.body, id},
		answerTimeoutMs: submission.body.deadlineMs + answerGraceMs,
	};
	let mayHaveStarted = false;
	const answer = await findInTurn(mostAttempts, async attempt => {
		if (attempt > 1) {
			options.onProgress(`the answer was lost; sending ${id} again (attempt ${attempt} of ${mostAttempts})`);
			await options.wait(waitBetweenAttemptsMs);
		}

		const received = await sendOrFindLost(options.client, request, mayHaveStarted);
		mayHaveStarted ||= received === undefined;
		return received;
	});
	if (answer === undefined) {
		throw createUnknownError(id, 'no answer came');
	}

	const outcome = mayHaveStarted ? findOutcomeOfResendOrThrow(answer, request, id) : findOutcomeOrThrow(answer, request);
	return outcome ?? waitForOutcomeOrThrow(id, submission.body.deadlineMs, options);
}

/** A refusal of a resend, or of a question, says nothing about the copy that was sent before, unless it says so. */
function findOutcomeOfResendOrThrow(answer: ApiAnswer, request: ApiRequest, id: string): JobOutcome | undefined {
	const outcome = findOutcomeOfAcceptedOrThrow(answer, request, id);
	if (outcome?.outcome === 'refused' && outcome.notRun === 'this-copy') {
		throw createUnknownError(id, `the daemon refused to tell (${outcome.code}): ${outcome.message}`);
	}

	return outcome;
}

async function waitForOutcomeOrThrow(id: string, deadlineMs: number, options: SubmitOptions): Promise<JobOutcome> {
	const request: ApiRequest = {
		method: 'GET',
		path: `/v1/jobs/${encodeURIComponent(id)}?waitMs=${pollWaitMs}`,
		answerTimeoutMs: pollWaitMs + answerGraceMs,
	};
	const mostPolls = Math.ceil((deadlineMs + answerGraceMs) / pollWaitMs);
	const outcome = await findInTurn(mostPolls, async () => {
		options.onProgress(`${id} is running`);
		const answer = await sendOrFindLost(options.client, request, true);
		if (answer !== undefined) {
			return findOutcomeOfResendOrThrow(answer, request, id);
		}

		await options.wait(waitBetweenAttemptsMs);
		return undefined;
	});
	if (outcome === undefined) {
		throw createUnknownError(id, 'no outcome came before its deadline');
	}

	return outcome;
}

/** Finds the outcome of a job that may have started; an answer that is none leaves it unknown. */
function findOutcomeOfAcceptedOrThrow(answer: ApiAnswer, request: ApiRequest, id: string): JobOutcome | undefined {
	try {
		return findOutcomeOrThrow(answer, request);
	} catch (error) {
		throw error instanceof CommandError ? createUnknownError(id, error.message) : error;
	}
}

function createUnknownError(id: string, reason: string): CommandError {
	const message = `it is not known whether ${id} ran: ${reason}. Ask with \`camphortack job ${id}\`; sending it again under this id is safe.`;
	return new CommandError('unknown', message, exitCodes.unknown, {id});
}
