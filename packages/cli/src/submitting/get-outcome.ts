import {z} from 'zod';
import {jobOutcomeSchema, type JobOutcome, type RefusalCode} from '@camphortack/core';
import type {ApiResponse, ApiRequest} from '../api/api-client.js';
import {createRefusalError, isSuccess, parseResponseOrThrow} from '../api/get-response.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';

const openJobSchema = z.looseObject({id: z.string()});

/**
 * Finds the outcome in a response. The outcome is undefined if the job is still open.
 * @param response - The response to a submission or to a query about a job.
 * @param request - The request.
 * @throws CommandError if the response is neither an outcome nor an open job.
 */
export function findOutcomeOrThrow(response: ApiResponse, request: ApiRequest): JobOutcome | undefined {
	const outcome = jobOutcomeSchema.safeParse(response.body);
	if (outcome.success) {
		return outcome.data;
	}

	if (!isSuccess(response)) {
		throw createRefusalError(response);
	}

	parseResponseOrThrow(response, openJobSchema, request);
	return undefined;
}

/**
 * Gets the exit code for the outcome of a job.
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
