import type {ServerResponse} from 'node:http';
import {getRefusalDescription, type JobOutcome} from '@camphortack/core';
import {reserveResponse} from '@camphortack/process';
import {serializeOutcome} from '../jobs/serialize-outcome.js';

const completeStatus = 200;
const failedStatus = 500;
const millisecondsPerSecond = 1000;

/**
 * Sends a value as JSON.
 * @param response - The response.
 * @param status - The HTTP status.
 * @param value - The value.
 * @param headers - Additional headers.
 */
export function sendJson(response: ServerResponse, status: number, value: unknown, headers: Record<string, string> = {}): void {
	sendText(response, status, JSON.stringify(value), headers);
}

function sendText(response: ServerResponse, status: number, text: string, headers: Record<string, string> = {}): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	if (!reserveResponse(response, text.length)) {
		// A refusal would say that the job has not run. Its outcome is stored, and its caller can ask for it.
		response.destroy();
		return;
	}

	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(text);
}

/**
 * Sends the outcome of a job with the matching HTTP status and, for a refusal, a `retry-after` header if it may be retried later.
 * @param response - The response.
 * @param outcome - The outcome.
 */
export function sendOutcome(response: ServerResponse, outcome: JobOutcome): void {
	if (outcome.outcome !== 'refused') {
		sendText(response, outcome.outcome === 'complete' ? completeStatus : failedStatus, serializeOutcome(outcome));
		return;
	}

	const {httpStatus} = getRefusalDescription(outcome.code);
	const headers: Record<string, string> = outcome.retryAfterMs === undefined
		? {}
		: {'retry-after': String(Math.ceil(outcome.retryAfterMs / millisecondsPerSecond))};
	sendJson(response, httpStatus, outcome, headers);
}
