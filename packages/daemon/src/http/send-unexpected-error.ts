import type {ServerResponse} from 'node:http';
import type {EventLog} from '@camphortack/core';
import {sendJson} from './send-json.js';

/**
 * Logs and answers an error that no rule of the interface explains, so that it costs one request only. A client that has closed
 * the connection gets no answer.
 * @param response - The response.
 * @param error - The caught error.
 * @param events - The event log.
 */
export function sendUnexpectedError(response: ServerResponse, error: unknown, events: EventLog): void {
	if (response.destroyed || response.socket === null || response.socket.destroyed) {
		response.destroy();
		return;
	}

	events.write('request-failed', {path: response.req.url, message: error instanceof Error ? error.stack ?? error.message : String(error)});
	sendJson(response, 500, {code: 'internal-error', message: 'An error occurred while the request was handled; it may have had an effect.'}, {connection: 'close'});
}
