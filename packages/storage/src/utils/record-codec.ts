import {Encoder} from 'cbor-x';

const encoder = new Encoder({useRecords: false, tagUint8Array: false});

/**
 * Encodes a record as CBOR.
 * @param record - Any value that CBOR can hold.
 */
export function encodeRecord(record: unknown): Uint8Array {
	return encoder.encode(record);
}

/**
 * Decodes the records that stand one after the other.
 * @param bytes - The encoded records.
 */
export function decodeRecords(bytes: Uint8Array): unknown[] {
	const records: unknown[] = [];
	encoder.decodeMultiple(bytes, record => {
		records.push(record);
	});
	return records;
}
