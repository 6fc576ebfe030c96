import type {z} from 'zod';
import {CommandError} from '../errors/command-error.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import type {ApiResponse, ApiClient, ApiRequest} from './api-client.js';
import {errorResponseSchema} from './api-schemas.js';

/**
 * Sends a request and gets its answer by its schema.
 * @param client - The client.
 * @param request - The request.
 * @param schema - The schema of a successful answer.
 * @throws CommandError if the daemon refuses, or answers with something else.
 */
export async function getResponseOrThrow<Schema extends z.ZodType>(client: ApiClient, request: ApiRequest, schema: Schema): Promise<z.infer<Schema>> {
	const response = await client.send(request);
	if (!isSuccess(response)) {
		throw createRefusalError(response);
	}

	return parseResponseOrThrow(response, schema, request);
}

/** Whether the status says that the request was done. */
export function isSuccess(response: ApiResponse): boolean {
	return response.status >= 200 && response.status < 300;
}

/**
 * Parses the body of an answer.
 * @throws CommandError `unexpected-answer`; after anything but a GET the outcome is then not known.
 */
export function parseResponseOrThrow<Schema extends z.ZodType>(response: ApiResponse, schema: Schema, request: ApiRequest): z.infer<Schema> {
	const parsed = schema.safeParse(response.body);
	if (!parsed.success) {
		const message = `${request.method} ${request.path} was answered with something else than expected (status ${response.status}); is the address right, and of the same version?`;
		throw new CommandError('unexpected-answer', message, request.method === 'GET' ? exitCodes.failed : exitCodes.unknown);
	}

	return parsed.data;
}

/**
 * Creates the error for an answer that is not a success.
 * @param response - The answer.
 */
export function createRefusalError(response: ApiResponse): CommandError {
	const body = errorResponseSchema.safeParse(response.body).data ?? {};
	const code = body.code ?? `status-${response.status}`;
	const message = body.message ?? getStatusMessage(response.status);
	return new CommandError(code, `refused (${code}): ${message}`, getExitCode(response.status), body);
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
