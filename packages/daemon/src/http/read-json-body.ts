import type {IncomingMessage} from 'node:http';
import {CamphortackError, FindingsError} from '@camphortack/core';
import {readBody, reserveJson} from '@camphortack/process';
import {findNestingFinding} from './find-nesting-finding.js';
import {NoMemoryError} from './no-memory-error.js';

/** The default maximum size of a request body. */
export const maxBodyBytes = 8_388_608;
/** The maximum nesting depth of a request body. */
export const maxBodyLevels = 64;

/** Thrown if a request body exceeds its maximum size. */
export class BodyTooLargeError extends CamphortackError {
	/**
	 * Creates the error.
	 * @param maxBytes - The maximum size.
	 */
	constructor(maxBytes: number) {
		super('body-too-large', `the body is larger than ${maxBytes} bytes, or has more values than there is memory for`);
	}
}

/**
 * Reads a JSON body and checks its size and nesting depth.
 * @param request - The request.
 * @param maxBytes - The maximum size; reading stops once it is exceeded.
 * @throws BodyTooLargeError if the body exceeds the maximum size, or has more values than any request may have.
 * @throws NoMemoryError if its memory is needed for other requests.
 * @throws FindingsError if the body is not JSON or is nested too deeply.
 */
export async function readJsonBody(request: IncomingMessage, maxBytes = maxBodyBytes): Promise<unknown> {
	const bytes = await readBytesOrThrow(request, maxBytes);
	const finding = findNestingFinding(bytes, maxBodyLevels);
	if (finding !== undefined) {
		throw new FindingsError('the body is not valid', [finding]);
	}

	try {
		return JSON.parse(new TextDecoder().decode(bytes));
	} catch (error) {
		const message = error instanceof Error ? error.message : 'is not JSON';
		throw new FindingsError('the body is not valid', [{code: 'not-json', message, place: {}}]);
	}
}

async function readBytesOrThrow(request: IncomingMessage, maxBytes: number): Promise<Uint8Array> {
	const result = await readBody(request, maxBytes);
	if (result.outcome === 'cut-off') {
		throw new CamphortackError('caller-gone', 'the connection ended before the body');
	}

	const outcome = result.outcome === 'read' ? reserveJson(request, result.bytes) : result.outcome;
	if (outcome === 'too-large') {
		throw new BodyTooLargeError(maxBytes);
	}

	if (result.outcome !== 'read' || outcome === 'no-memory') {
		throw new NoMemoryError();
	}

	return result.bytes;
}
