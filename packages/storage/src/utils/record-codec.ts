import {Encoder} from 'cbor-x';

const encoder = new Encoder({useRecords: false, tagUint8Array: false});

/**
 * Encodes a record as CBOR.
 * @param record - Any value that CBOR can encode.
 */
export function encodeRecord(record: unknown): Uint8Array {
	return encoder.encode(record);
}

/**
 * Decodes a sequence of consecutive records.
 * @param bytes - The encoded records.
 */
export function decodeRecords(bytes: Uint8Array): unknown[] {
	const records: unknown[] = [];
	encoder.decodeMultiple(bytes, record => {
		records.push(record);
	});
	return records;
}
