import {z} from 'zod';
import {numberedDocumentSchema} from '../publish/document-schemas.js';
import {evacuationOrderSchema} from '../publish/evacuation-schemas.js';
import {publishProposalSchema} from '../publish/publish-schemas.js';
import {keeperRecordSchema} from './keeper-set.js';

/** The command of an entry in the replicated log. */
export const commandSchema = z.discriminatedUnion('type', [
	/** The first entry of a leader's term. */
	z.object({type: z.literal('no-operation')}),
	/** Replaces the set of keepers. Takes effect as soon as it is appended. */
	z.object({type: z.literal('set-keepers'), keepers: z.array(keeperRecordSchema)}),
	z.object({type: z.literal('publish'), proposal: publishProposalSchema}),
	z.object({type: z.literal('put-document'), document: numberedDocumentSchema}),
	/** Written only when an operator orders it: a keeper of an earlier version cannot read it. */
	z.object({type: z.literal('set-evacuation'), order: evacuationOrderSchema}),
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
