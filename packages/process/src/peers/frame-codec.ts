import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {CamphortackError, peerMessageSchema, type PeerMessage} from '@camphortack/core';
import {createByteCollector} from '../bytes/byte-collector.js';

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
	 * @throws FrameError if the length of a frame is out of range, there is no memory for it or its body is not a message.
	 */
	addChunk(chunk: Uint8Array): void;
};

export type FrameReaderOptions = {
	/** Called with each message. */
	onMessage: (message: PeerMessage) => void;
	/** The maximum length of a frame body. */
	maxFrameBytes?: number;
	/** Called with the memory that an incomplete frame takes when it begins, and with 0 when it is complete. Returns whether it may. */
	reserve?: (sizeBytes: number) => boolean;
};

/**
 * Creates a reader for the frames of one connection.
 * @param options - Where messages go, and the bounds.
 *
 * @example
 * ```ts
 * const reader = createFrameReader({onMessage: handleMessage});
 * socket.on('data', chunk => reader.addChunk(chunk));
 * ```
 */
export function createFrameReader({onMessage, maxFrameBytes = defaultMaxFrameBytes, reserve = () => true}: FrameReaderOptions): FrameReader {
	const collector = createByteCollector();
	let neededBytes = frameHeaderBytes;

	/** Passes on the frames that a chunk contains completely. Returns the rest. */
	function readCompleteFrames(chunk: Uint8Array): Uint8Array {
		let rest = chunk;
		for (;;) {
			const frameBytes = findFrameBytes(rest, maxFrameBytes);
			if (frameBytes === undefined || rest.length < frameBytes) {
				return rest;
			}

			onMessage(decodeMessage(rest.subarray(frameHeaderBytes, frameBytes)));
			rest = rest.subarray(frameBytes);
		}
	}

	/** Reserves memory for a frame as soon as its length is known, so that of many large ones only some are received at a time. */
	function startFrame(header: Uint8Array): void {
		neededBytes = findFrameBytes(header, maxFrameBytes)!;
		if (!reserve(neededBytes)) {
			throw new FrameError('there is no memory for the frame');
		}

		collector.add(header);
	}

	/** Adds bytes to the incomplete frame, and passes it on once it is complete. Returns the bytes that follow it. */
	function continueFrame(chunk: Uint8Array): Uint8Array {
		const part = chunk.subarray(0, neededBytes - collector.getSize());
		collector.add(part);
		if (collector.getSize() === neededBytes && neededBytes > frameHeaderBytes) {
			const frame = collector.takeBytes();
			reserve(0);
			neededBytes = frameHeaderBytes;
			onMessage(decodeMessage(frame.subarray(frameHeaderBytes)));
		} else if (collector.getSize() === frameHeaderBytes) {
			startFrame(collector.takeBytes());
		}

		return chunk.subarray(part.length);
	}

	return {
		addChunk(chunk) {
			for (let rest = chunk; rest.length > 0;) {
				rest = collector.getSize() === 0 ? readCompleteFrames(rest) : rest;
				rest = rest.length === 0 ? rest : continueFrame(rest);
			}
		},
	};
}

/** Finds the length of the frame that some bytes begin with; undefined as long as they do not state it. */
function findFrameBytes(bytes: Uint8Array, maxFrameBytes: number): number | undefined {
	if (bytes.length < frameHeaderBytes) {
		return undefined;
	}

	const bodyBytes = new DataView(bytes.buffer, bytes.byteOffset).getUint32(0);
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
