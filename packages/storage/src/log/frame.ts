import crc32 from 'crc-32';

/**
 * The size of a frame header. A frame stores one group commit: payload length (4 bytes), sequence number of the first
 * record (8), checksum of the payload (4), checksum of the header (4), payload.
 */
export const frameHeaderBytes = 20;

/** A decoded frame. */
export type Frame = {
	offsetBytes: number;
	endBytes: number;
	sequence: number;
	payload: Uint8Array;
};

type FrameHeader = {
	payloadBytes: number;
	sequence: number;
	payloadChecksum: number;
};

/**
 * Encodes a frame.
 * @param sequence - The sequence number of the first record.
 * @param payload - The encoded records.
 * @param seed - The initial value of the checksums, which differs between data folders.
 */
export function encodeFrame(sequence: number, payload: Uint8Array, seed: number): Uint8Array {
	const bytes = new Uint8Array(frameHeaderBytes + payload.length);
	const view = new DataView(bytes.buffer);
	view.setUint32(0, payload.length);
	view.setBigUint64(4, BigInt(sequence));
	view.setInt32(12, crc32.buf(payload, seed));
	view.setInt32(16, crc32.buf(bytes.subarray(0, 16), seed));
	bytes.set(payload, frameHeaderBytes);
	return bytes;
}

/**
 * Reads the frame at an offset.
 * @param bytes - The content of the file.
 * @param offsetBytes - The offset of the frame.
 * @param seed - The initial value of the checksums.
 * @returns The frame, or undefined if it is incomplete or damaged.
 */
export function readFrame(bytes: Uint8Array, offsetBytes: number, seed: number): Frame | undefined {
	const header = readFrameHeader(bytes, offsetBytes, seed);
	if (header === undefined) {
		return undefined;
	}

	const start = offsetBytes + frameHeaderBytes;
	const payload = bytes.subarray(start, start + header.payloadBytes);
	if (payload.length < header.payloadBytes || crc32.buf(payload, seed) !== header.payloadChecksum) {
		return undefined;
	}

	return {
		offsetBytes,
		endBytes: start + header.payloadBytes,
		sequence: header.sequence,
		payload,
	};
}

/**
 * Checks whether a later frame starts anywhere after an offset. A frame is written only after the previous one was
 * synced, so a later frame proves that the data at the offset was once complete.
 * @param bytes - The content of the file.
 * @param offsetBytes - The offset at which a complete frame was expected.
 * @param sequence - The sequence number that was expected there.
 * @param seed - The initial value of the checksums.
 */
export function hasLaterFrame(bytes: Uint8Array, offsetBytes: number, sequence: number, seed: number): boolean {
	for (let offset = offsetBytes + 1; offset + frameHeaderBytes <= bytes.length; offset++) {
		const header = readFrameHeader(bytes, offset, seed);
		if (header !== undefined && header.sequence > sequence) {
			return true;
		}
	}

	return false;
}

function readFrameHeader(bytes: Uint8Array, offsetBytes: number, seed: number): FrameHeader | undefined {
	if (offsetBytes + frameHeaderBytes > bytes.length) {
		return undefined;
	}

	const view = new DataView(bytes.buffer, bytes.byteOffset + offsetBytes, frameHeaderBytes);
	const checksum = crc32.buf(bytes.subarray(offsetBytes, offsetBytes + 16), seed);
	if (checksum !== view.getInt32(16)) {
		return undefined;
	}

	return {
		payloadBytes: view.getUint32(0),
		sequence: Number(view.getBigUint64(4)),
		payloadChecksum: view.getInt32(12),
	};
}
