import type {ServerResponse} from 'node:http';
import {FindingsError, getSchemaFindings} from '@camphortack/core';
import type {z} from 'zod';
import {BodyTooLargeError} from './read-json-body.js';
import {sendJson} from './send-json.js';

/**
 * Checks a body against its schema.
 * @param schema - The schema.
 * @param body - The parsed JSON.
 * @throws FindingsError with every finding.
 */
export function parseBody<Schema extends z.ZodType>(schema: Schema, body: unknown): z.output<Schema> {
	const parsed = schema.safeParse(body);
	if (!parsed.success) {
		throw new FindingsError('the body is not valid', getSchemaFindings(parsed.error));
	}

	return parsed.data;
}

/**
 * Answers an error in a body: 400 with all findings, 413, or an end of the connection if the sender is gone.
 * @param response - The response.
 * @param error - What was thrown.
 */
export function sendInputError(response: ServerResponse, error: unknown): void {
	if (error instanceof FindingsError) {
		sendJson(response, 400, {code: 'bad-input', findings: error.findings});
		return;
	}

	if (error instanceof BodyTooLargeError) {
		sendJson(response, 413, {code: 'payload-too-large', message: error.message}, {connection: 'close'});
		return;
	}

	response.destroy();
}
