import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {CamphortackError, FindingsError} from '@camphortack/core';
import {findNestingFinding} from './find-nesting-finding.js';

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
		super('body-too-large', `the body is larger than ${maxBytes} bytes`);
	}
}

/**
 * Reads a JSON body and checks its size and nesting depth.
 * @param request - The request.
 * @param maxBytes - The maximum size; reading stops once it is exceeded.
 * @throws BodyTooLargeError if the body exceeds the maximum size.
 * @throws FindingsError if the body is not JSON or is nested too deeply.
 */
export async function readJsonBody(request: IncomingMessage, maxBytes = maxBodyBytes): Promise<unknown> {
	const bytes = await readBytes(request, maxBytes);
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

async function readBytes(request: IncomingMessage, maxBytes: number): Promise<Uint8Array> {
	const declaredBytes = Number(request.headers['content-length'] ?? 0);
	if (declaredBytes > maxBytes) {
		throw new BodyTooLargeError(maxBytes);
	}

	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let receivedBytes = 0;
		request.on('data', (chunk: Uint8Array) => {
			receivedBytes += chunk.length;
			if (receivedBytes > maxBytes) {
				request.pause();
				reject(new BodyTooLargeError(maxBytes));
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
