import {z} from 'zod';
import {machineStateSchema} from '../publish/configuration-machine.js';
import {keeperRecordSchema} from './keeper-set.js';
import {logEntrySchema} from './log-entry.js';

const votedForSchema = z.string().optional();

/** The cluster that a keeper belongs to, and the keeper that may bootstrap it. */
export const bindingSchema = z.object({clusterId: z.string(), bootstrapperId: z.string().optional()});

/** A record of the keeper's log. */
export const storeRecordSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('identity'), identity: z.string(), keeperId: z.string()}),
	z.object({type: z.literal('binding'), binding: bindingSchema}),
	z.object({type: z.literal('term'), term: z.int(), votedFor: votedForSchema}),
	/** Replaces all entries from the index of the first one on. */
	z.object({type: z.literal('entries'), entries: z.array(logEntrySchema)}),
	z.object({type: z.literal('commit'), index: z.int()}),
	z.object({type: z.literal('confirmed')}),
]);

/** The last entry before the retained part of the log. */
export const logBaseSchema = z.object({
	index: z.int(),
	term: z.int(),
	/** The keepers in effect at that index. */
	keepers: z.array(keeperRecordSchema),
});

/** A snapshot of everything that a keeper stores. */
export const storeSnapshotSchema = z.object({
	formatVersion: z.literal(1),
	keeperId: z.string(),
	identity: z.string(),
	binding: bindingSchema.optional(),
	term: z.int(),
	votedFor: votedForSchema,
	base: logBaseSchema,
	/** The index up to which entries are applied to the state; not below the base. */
	stateIndex: z.int(),
	state: machineStateSchema,
	entries: z.array(logEntrySchema),
	commitIndex: z.int(),
	wasConfirmed: z.boolean(),
});

export type Binding = z.infer<typeof bindingSchema>;
export type StoreRecord = z.infer<typeof storeRecordSchema>;
export type LogBase = z.infer<typeof logBaseSchema>;
export type StoreSnapshot = z.infer<typeof storeSnapshotSchema>;
