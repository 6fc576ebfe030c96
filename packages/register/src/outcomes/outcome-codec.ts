import {jobOutcomeSchema, type JobOutcome} from '@camphortack/core';
import {decodeRecords, encodeRecord} from '@camphortack/storage';

/**
 * Encodes an outcome. The same bytes are used in messages, in memory and in the log.
 * @param outcome - The outcome.
 */
export function encodeOutcome(outcome: JobOutcome): Uint8Array {
	return encodeRecord(outcome);
}

/**
 * Decodes an outcome.
 * @param bytes - The encoded outcome.
 * @returns The outcome, or undefined if the bytes are not a valid outcome.
 */
export function decodeOutcome(bytes: Uint8Array): JobOutcome | undefined {
	try {
		return jobOutcomeSchema.safeParse(decodeRecords(bytes)[0]).data;
	} catch {
		return undefined;
	}
}
