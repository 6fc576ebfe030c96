import type {z} from 'zod';
import {CommandError} from '../errors/command-error.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import type {ApiResponse, ApiClient, ApiRequest} from './api-client.js';
import {errorResponseSchema} from './api-schemas.js';

/**
 * Sends a request and parses the response with a schema.
 * @param client - The client.
 * @param request - The request.
 * @param schema - The schema of the body of a successful response.
 * @throws CommandError if the daemon refuses the request or returns an unexpected response.
 */
export async function getResponseOrThrow<Schema extends z.ZodType>(client: ApiClient, request: ApiRequest, schema: Schema): Promise<z.infer<Schema>> {
	const response = await client.send(request);
	if (!isSuccess(response)) {
		throw createRefusalError(response);
	}

	return parseResponseOrThrow(response, schema, request);
}

/** Whether the response has a success status. */
export function isSuccess(response: ApiResponse): boolean {
	return response.status >= 200 && response.status < 300;
}

/**
 * Parses the body of a response.
 * @throws CommandError `unexpected-answer`. Unless the request was a GET, its outcome is then unknown.
 */
export function parseResponseOrThrow<Schema extends z.ZodType>(response: ApiResponse, schema: Schema, request: ApiRequest): z.infer<Schema> {
	const parsed = schema.safeParse(response.body);
	if (!parsed.success) {
		const message = `${request.method} ${request.path} returned an unexpected response (status ${response.status}); check that the address is correct and that the daemon has the same version`;
		throw new CommandError('unexpected-answer', message, request.method === 'GET' ? exitCodes.failed : exitCodes.unknown);
	}

	return parsed.data;
}

/**
 * Creates the error for a response without a success status.
 * @param response - The response.
 */
export function createRefusalError(response: ApiResponse): CommandError {
	const body = errorResponseSchema.safeParse(response.body).data ?? {};
	const code = body.code ?? `status-${response.status}`;
	const message = body.message ?? getStatusMessage(response.status);
	return new CommandError(code, `refused (${code}): ${message}`, getExitCode(response.status), body);
}

function getStatusMessage(status: number): string {
	return status === 401 || status === 403 ? 'the token is missing or unknown; set CAMPHORTACK_TOKEN' : `the daemon responded with status ${status}`;
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
