import {z} from 'zod';
import {numberedDocumentSchema} from '../publish/document-schemas.js';
import {publishProposalSchema} from '../publish/publish-schemas.js';
import {keeperRecordSchema} from './keeper-set.js';
import type {KeeperStore} from './keeper-store.js';
import {mostBytesPerMessage, mostEntriesPerMessage} from './keeper-timings.js';

/** What an entry of the agreed log asks for. */
export const commandSchema = z.discriminatedUnion('type', [
	/** The first entry of a leader's term. */
	z.object({type: z.literal('no-operation')}),
	/** Replaces the set of keepers; in effect from its append on. */
	z.object({type: z.literal('set-keepers'), keepers: z.array(keeperRecordSchema)}),
	z.object({type: z.literal('publish'), proposal: publishProposalSchema}),
	z.object({type: z.literal('put-document'), document: numberedDocumentSchema}),
]);

export const logEntrySchema = z.object({
	index: z.int().min(1),
	term: z.int().min(1),
	command: commandSchema,
});

export type Command = z.infer<typeof commandSchema>;
export type LogEntry = z.infer<typeof logEntrySchema>;

const entryOverheadBytes = 64;

/**
 * Estimates the encoded size of an entry.
 * @param entry - The entry.
 */
export function getEntrySizeBytes(entry: LogEntry): number {
	return entryOverheadBytes + (entry.command.type === 'no-operation' ? 0 : JSON.stringify(entry.command).length);
}

/**
 * Gets as many entries as fit one message, at least one if there is one.
 * @param store - Where the entries are.
 * @param fromIndex - The first entry.
 * @param toIndex - The last entry that may be sent.
 */
export function getBatch(store: KeeperStore, fromIndex: number, toIndex: number): LogEntry[] {
	const batch: LogEntry[] = [];
	let sizeBytes = 0;
	for (const entry of store.getEntries(fromIndex, Math.min(mostEntriesPerMessage, Math.max(0, toIndex - fromIndex + 1)))) {
		sizeBytes += getEntrySizeBytes(entry);
		if (batch.length > 0 && sizeBytes > mostBytesPerMessage) {
			break;
		}

		batch.push(entry);
	}

	return batch;
}
