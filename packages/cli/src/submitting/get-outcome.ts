import {z} from 'zod';
import {jobOutcomeSchema, type JobOutcome, type RefusalCode} from '@camphortack/core';
import type {ApiAnswer, ApiRequest} from '../api/api-client.js';
import {createRefusalError, isSuccess, parseAnswerOrThrow} from '../api/get-answer.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';

const openJobSchema = z.looseObject({id: z.string()});

/**
 * Finds the outcome in an answer; undefined if the job is still open.
 * @param answer - The answer to a submission or to a question about a job.
 * @param request - What was asked.
 * @throws CommandError if the answer is neither.
 */
export function findOutcomeOrThrow(answer: ApiAnswer, request: ApiRequest): JobOutcome | undefined {
	const outcome = jobOutcomeSchema.safeParse(answer.body);
	if (outcome.success) {
		return outcome.data;
	}

	if (!isSuccess(answer)) {
		throw createRefusalError(answer);
	}

	parseAnswerOrThrow(answer, openJobSchema, request);
	return undefined;
}

/**
 * Gets the exit code for an outcome.
 * @param outcome - The outcome.
 */
export function getOutcomeExitCode(outcome: JobOutcome): ExitCode {
	switch (outcome.outcome) {
		case 'complete': {
			return exitCodes.ok;
		}

		case 'failed': {
			return exitCodes.failed;
		}

		case 'refused': {
			return getRefusalExitCode(outcome.code);
		}
	}
}

function getRefusalExitCode(code: RefusalCode): ExitCode {
	if (code === 'content-conflict') {
		return exitCodes.conflict;
	}

	return code === 'unknown-job' ? exitCodes.failed : exitCodes.refused;
}
