import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {CamphortackError, peerMessageSchema, type PeerMessage} from '@camphortack/core';

/** The size of the length prefix of a frame, in bytes. */
export const frameHeaderBytes = 4;
/** The default maximum length of a frame body that is accepted from a peer. */
export const defaultMaxFrameBytes = 33_554_432;

/** Thrown if a peer sends bytes that are not a valid frame. */
export class FrameError extends CamphortackError {
	/**
	 * Creates the error.
	 * @param message - The reason why the frame is invalid.
	 */
	constructor(message: string) {
		super('bad-frame', message);
	}
}

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/**
 * Encodes a message as a frame: the body length as a 32-bit big-endian integer, followed by the CBOR body.
 * @param message - The message.
 */
export function encodeFrame(message: PeerMessage): Uint8Array {
	const body = encoder.encode(message);
	const frame = Buffer.allocUnsafe(frameHeaderBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	frame.set(body, frameHeaderBytes);
	return frame;
}

/** Reassembles messages from the chunks of a byte stream. */
export type FrameReader = {
	/**
	 * Adds a chunk and passes on the messages that it completes.
	 * @throws FrameError if the length of a frame is out of range or its body is not a message.
	 */
	addChunk(chunk: Uint8Array): void;
};

/**
 * Creates a reader for the frames of one connection.
 * @param onMessage - Called with each message.
 * @param maxFrameBytes - The maximum length of a frame body, which bounds the buffered bytes.
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
		throw new FrameError(`frame body length of ${bodyBytes} bytes is not between 1 and ${maxFrameBytes}`);
	}

	return frameHeaderBytes + bodyBytes;
}

function decodeMessage(body: Uint8Array): PeerMessage {
	let value: unknown;
	try {
		value = decoder.decode(body);
	} catch (error) {
		throw new FrameError(`frame body is not valid CBOR: ${error instanceof Error ? error.message : 'unknown error'}`);
	}

	const parsed = peerMessageSchema.safeParse(value);
	if (!parsed.success) {
		throw new FrameError('frame body is not a message with a valid kind');
	}

	return parsed.data;
}
