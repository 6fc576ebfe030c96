import {nameSchema} from '@camphortack/core';
import {z} from 'zod';
import {bytesSchema} from '../messages/bytes-schema.js';

const countSchema = z.int().min(0);
const claimantShape = {daemonId: z.string(), incarnation: z.string(), claim: countSchema};

/** A change of the register as stored in its log. A snapshot is a sequence of the same records. */
export const registerLogRecordSchema = z.discriminatedUnion('kind', [
	/** Starts an empty register. On the first start of the cluster, no id can have been claimed earlier. */
	z.object({
		kind: z.literal('epoch'), atMs: z.number(), epoch: z.string(), isFirstStart: z.boolean(),
	}),
	/** Advances the register's clock when no other records are written. */
	z.object({kind: z.literal('tick'), atMs: z.number()}),
	/** Grants a process the right to start a job. */
	z.object({
		kind: z.literal('claim'), atMs: z.number(), id: nameSchema, contentHash: z.string(), ...claimantShape, taskCount: countSchema,
	}),
	/** Releases a claim whose job was not started; the id may be claimed again. */
	z.object({kind: z.literal('release'), id: nameSchema}),
	/** Records that the job has ended. */
	z.object({
		kind: z.literal('outcome'), atMs: z.number(), id: nameSchema, contentHash: z.string(), ...claimantShape, outcome: bytesSchema.optional(),
	}),
	/** Marks a process as gone, or as alive after a mistaken mark. */
	z.object({
		kind: z.literal('process'), daemonId: z.string(), incarnation: z.string(), isGone: z.boolean(),
	}),
	/** Records the successor (`heirId`) that handles the tickets of a process after its planned stop. */
	z.object({kind: z.literal('heir'), incarnation: z.string(), heirId: z.string()}),
	/** Sets the ownership state of a partition at this keeper, and until when unknown ids are refused. */
	z.object({
		kind: z.literal('partition'), partition: countSchema, state: z.enum(['owned', 'taken', 'none']), quarantineUntilMs: z.number(),
	}),
]);

export type RegisterLogRecord = z.infer<typeof registerLogRecordSchema>;
export type RegisterLogRecordOf<Kind extends RegisterLogRecord['kind']> = Extract<RegisterLogRecord, {kind: Kind}>;
