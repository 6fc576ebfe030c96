import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {CamphortackError, peerMessageSchema, type PeerMessage} from '@camphortack/core';

/** The bytes of the length that stands before each frame. */
export const frameHeaderBytes = 4;
/** The longest frame that a daemon takes from another one. */
export const defaultMaxFrameBytes = 33_554_432;

/** A peer sent bytes that are not a frame of this protocol. */
export class FrameError extends CamphortackError {
	/**
	 * Creates the error.
	 * @param message - What is wrong with the frame.
	 */
	constructor(message: string) {
		super('bad-frame', message);
	}
}

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/**
 * Encodes a message as a frame: four bytes of length, then CBOR.
 * @param message - The message.
 */
export function encodeFrame(message: PeerMessage): Uint8Array {
	const body = encoder.encode(message);
	const frame = Buffer.allocUnsafe(frameHeaderBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	frame.set(body, frameHeaderBytes);
	return frame;
}

/** Takes chunks of a byte stream and gives whole messages. */
export type FrameReader = {
	/**
	 * Adds a chunk.
	 * @throws FrameError if a frame is too long or is not a message.
	 */
	addChunk(chunk: Uint8Array): void;
};

/**
 * Creates a reader for the frames of one connection.
 * @param onMessage - Called for each message.
 * @param maxFrameBytes - The bound on a frame; memory is spent only below it.
 *
 * @example
 * ```ts
 * const reader = createFrameReader(message => handleMessage(message));
 * socket.on('data', chunk => reader.addChunk(chunk));
 * ```
 */
export function createFrameReader(onMessage: (message: PeerMessage) => void, maxFrameBytes = defaultMaxFrameBytes): FrameReader {
	let chunks: Uint8Array[] = [];
	let pendingBytes = 0;
	let neededBytes = frameHeaderBytes;

	const readFrames = () => {
		let buffer: Uint8Array = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
		neededBytes = getNeededBytes(buffer, maxFrameBytes);
		while (buffer.length >= neededBytes && neededBytes > frameHeaderBytes) {
			onMessage(decodeMessage(buffer.subarray(frameHeaderBytes, neededBytes)));
			buffer = buffer.subarray(neededBytes);
			neededBytes = getNeededBytes(buffer, maxFrameBytes);
		}

		chunks = buffer.length > 0 ? [buffer] : [];
		pendingBytes = buffer.length;
	};

	return {
		addChunk(chunk) {
			chunks.push(chunk);
			pendingBytes += chunk.length;
			if (pendingBytes >= neededBytes) {
				readFrames();
			}
		},
	};
}

function getNeededBytes(buffer: Uint8Array, maxFrameBytes: number): number {
	if (buffer.length < frameHeaderBytes) {
		return frameHeaderBytes;
	}

	const bodyBytes = new DataView(buffer.buffer, buffer.byteOffset).getUint32(0);
	if (bodyBytes === 0 || bodyBytes > maxFrameBytes) {
		throw new FrameError(`a frame of ${bodyBytes} bytes is not between 1 and ${maxFrameBytes}`);
	}

	return frameHeaderBytes + bodyBytes;
}

function decodeMessage(body: Uint8Array): PeerMessage {
	let value: unknown;
	try {
		value = decoder.decode(body);
	} catch (error) {
		throw new FrameError(`a frame is not CBOR: ${error instanceof Error ? error.message : 'unknown error'}`);
	}

	const parsed = peerMessageSchema.safeParse(value);
	if (!parsed.success) {
		throw new FrameError('a frame is not a message with a kind');
	}

	return parsed.data;
}
