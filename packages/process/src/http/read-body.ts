import type {IncomingMessage} from 'node:http';
import {createByteCollector} from '../bytes/byte-collector.js';
import {countJsonValues} from './count-json-values.js';
import {
	findRequestReservation, requestOverheadBytes, reserveForRequest, setBodyEvictable,
} from './request-guard.js';

/** The result of reading a body. */
export type ReadBodyResult
	= {outcome: 'read'; bytes: Uint8Array}
		| {outcome: 'too-large'}
		/** The bodies of all clients together have used up their memory. The request was not handled. */
		| {outcome: 'no-memory'}
		/** The connection closed before the body was complete. */
		| {outcome: 'cut-off'};

/**
 * Reads a body. What it takes counts as memory of its request, if a guard has admitted that. Reading stops as soon as the body is
 * too large or its memory is needed for others.
 * @param message - A request or a response.
 * @param maxBytes - The maximum size of the body.
 */
export async function readBody(message: IncomingMessage, maxBytes: number): Promise<ReadBodyResult> {
	return new Promise(resolve => {
		const reservation = findRequestReservation(message);
		const collector = createByteCollector();
		let isEnded = false;

		function end(result: ReadBodyResult): void {
			if (isEnded) {
				return;
			}

			isEnded = true;
			message.off('data', addChunk);
			reservation?.setEvictable(undefined);
			collector.clear();
			resolve(result);
		}

		function addChunk(chunk: Uint8Array): void {
			if (collector.getSize() + chunk.length > maxBytes) {
				end({outcome: 'too-large'});
				return;
			}

			const capacity = collector.getCapacityFor(chunk.length);
			if (capacity > collector.getCapacity() && !reserveForRequest(message, capacity)) {
				end({outcome: 'no-memory'});
				return;
			}

			collector.add(chunk);
		}

		setBodyEvictable(message, () => {
			end({outcome: 'no-memory'});
		});
		if (Number(message.headers['content-length'] ?? 0) > maxBytes) {
			end({outcome: 'too-large'});
			return;
		}

		message.on('data', addChunk);
		message.once('end', () => {
			end({outcome: 'read', bytes: collector.takeBytes()});
		});
		message.once('close', () => {
			end({outcome: 'cut-off'});
		});
		message.once('error', () => {
			end({outcome: 'cut-off'});
		});
	});
}

/** Roughly what a value of a JSON text takes once it is parsed. */
const valueBytes = 96;

/**
 * Reserves the memory that a JSON body takes once it is parsed. Returns `too-large` if no request may take so much.
 * @param request - The request.
 * @param bytes - The body.
 */
export function reserveJson(request: IncomingMessage, bytes: Uint8Array): 'reserved' | 'too-large' | 'no-memory' {
	const sizeBytes = bytes.length + (countJsonValues(bytes) * valueBytes);
	if (requestOverheadBytes + sizeBytes > (findRequestReservation(request)?.maxBytes ?? Number.POSITIVE_INFINITY)) {
		return 'too-large';
	}

	return reserveForRequest(request, sizeBytes) ? 'reserved' : 'no-memory';
}
