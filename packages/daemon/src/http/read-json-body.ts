import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {CamphortackError, FindingsError} from '@camphortack/core';
import {findNestingFinding} from './find-nesting-finding.js';

/** The largest body that a daemon takes from a caller, a backend server or an operator. */
export const mostBodyBytes = 8_388_608;
/** The deepest nesting of a body. */
export const mostBodyLevels = 64;

/** A body is larger than its bound. */
export class BodyTooLargeError extends CamphortackError {
	/**
	 * Creates the error.
	 * @param mostBytes - The bound.
	 */
	constructor(mostBytes: number) {
		super('body-too-large', `the body is larger than ${mostBytes} bytes`);
	}
}

/**
 * Reads a body of JSON within bounds on its size and nesting.
 * @param request - The request.
 * @param mostBytes - The bound on the size; reading ends when it is passed.
 * @throws BodyTooLargeError if the body is over its bound.
 * @throws FindingsError if it is not JSON or nested too deeply.
 */
export async function readJsonBody(request: IncomingMessage, mostBytes = mostBodyBytes): Promise<unknown> {
	const bytes = await readBytes(request, mostBytes);
	const finding = findNestingFinding(bytes, mostBodyLevels);
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

async function readBytes(request: IncomingMessage, mostBytes: number): Promise<Uint8Array> {
	const declaredBytes = Number(request.headers['content-length'] ?? 0);
	if (declaredBytes > mostBytes) {
		throw new BodyTooLargeError(mostBytes);
	}

	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let receivedBytes = 0;
		request.on('data', (chunk: Uint8Array) => {
			receivedBytes += chunk.length;
			if (receivedBytes > mostBytes) {
				request.pause();
				reject(new BodyTooLargeError(mostBytes));
				return;
			}

			chunks.push(chunk);
		});
		request.on('end', () => {
			resolve(Buffer.concat(chunks));
		});
		request.on('error', reject);
		request.on('close', () => {
			if (request.complete) {
				return;
			}

			reject(new CamphortackError('caller-gone', 'the connection ended before the body'));
		});
	});
}
