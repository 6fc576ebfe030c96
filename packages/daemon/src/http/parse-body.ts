import type {ServerResponse} from 'node:http';
import {FindingsError, getSchemaFindings, type EventLog} from '@camphortack/core';
import {closeAfterResponse} from '@camphortack/process';
import type {z} from 'zod';
import {createRefusal} from './create-refusal.js';
import {NoMemoryError} from './no-memory-error.js';
import {BodyTooLargeError} from './read-json-body.js';
import {sendJson, sendOutcome} from './send-json.js';
import {sendUnexpectedError} from './send-unexpected-error.js';

/**
 * Parses a request body with a schema.
 * @param schema - The schema.
 * @param body - The parsed JSON.
 * @throws FindingsError with all findings if the body does not match.
 */
export function parseBody<Schema extends z.ZodType>(schema: Schema, body: unknown): z.output<Schema> {
	const parsed = schema.safeParse(body);
	if (!parsed.success) {
		throw new FindingsError('the body is not valid', getSchemaFindings(parsed.error));
	}

	return parsed.data;
}

/**
 * Sends the response for an error in a request body: 400 with all findings, or 413 for a body that is too large. Any other
 * error is logged and answered with 500, unless the sender has disconnected.
 * @param response - The response.
 * @param error - The caught error.
 * @param events - The event log.
 */
export function sendInputError(response: ServerResponse, error: unknown, events: EventLog): void {
	if (error instanceof FindingsError) {
		sendJson(response, 400, {code: 'bad-input', findings: error.findings});
		return;
	}

	if (error instanceof NoMemoryError) {
		closeAfterResponse(response);
		sendOutcome(response, createRefusal('no-memory', {notRun: 'this-copy'}));
		return;
	}

	if (error instanceof BodyTooLargeError) {
		closeAfterResponse(response);
		sendJson(response, 413, {code: 'payload-too-large', message: error.message});
		return;
	}

	sendUnexpectedError(response, error, events);
}
