import type {z} from 'zod';
import {CommandError} from '../errors/command-error.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import type {ApiAnswer, ApiClient, ApiRequest} from './api-client.js';
import {errorAnswerSchema} from './api-schemas.js';

/**
 * Sends a request and gets its answer by its schema.
 * @param client - The client.
 * @param request - The request.
 * @param schema - The schema of a successful answer.
 * @throws CommandError if the daemon refuses, or answers with something else.
 */
export async function getAnswerOrThrow<Schema extends z.ZodType>(client: ApiClient, request: ApiRequest, schema: Schema): Promise<z.infer<Schema>> {
	const answer = await client.send(request);
	if (!isSuccess(answer)) {
		throw createRefusalError(answer);
	}

	return parseAnswerOrThrow(answer, schema, request);
}

/** Whether the status says that the request was done. */
export function isSuccess(answer: ApiAnswer): boolean {
	return answer.status >= 200 && answer.status < 300;
}

/**
 * Parses the body of an answer.
 * @throws CommandError `unexpected-answer`; after anything but a GET the outcome is then not known.
 */
export function parseAnswerOrThrow<Schema extends z.ZodType>(answer: ApiAnswer, schema: Schema, request: ApiRequest): z.infer<Schema> {
	const parsed = schema.safeParse(answer.body);
	if (!parsed.success) {
		const message = `${request.method} ${request.path} was answered with something else than expected (status ${answer.status}); is the address right, and of the same version?`;
		throw new CommandError('unexpected-answer', message, request.method === 'GET' ? exitCodes.failed : exitCodes.unknown);
	}

	return parsed.data;
}

/**
 * Creates the error for an answer that is not a success.
 * @param answer - The answer.
 */
export function createRefusalError(answer: ApiAnswer): CommandError {
	const body = errorAnswerSchema.safeParse(answer.body).data ?? {};
	const code = body.code ?? `status-${answer.status}`;
	const message = body.message ?? getStatusMessage(answer.status);
	return new CommandError(code, `refused (${code}): ${message}`, getExitCode(answer.status), body);
}

function getStatusMessage(status: number): string {
	return status === 401 || status === 403 ? 'the token is missing or unknown; set CAMPHORTACK_TOKEN' : `the daemon answered with status ${status}`;
}

function getExitCode(status: number): ExitCode {
	switch (status) {
		case 400:
		case 404: {
			return exitCodes.failed;
		}

		case 409: {
			return exitCodes.conflict;
		}

		default: {
			return exitCodes.refused;
		}
	}
}
