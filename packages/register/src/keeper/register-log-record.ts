import {nameSchema} from '@camphortack/core';
import {z} from 'zod';
import {bytesSchema} from '../messages/bytes-schema.js';

const countSchema = z.int().min(0);
const claimantShape = {daemonId: z.string(), incarnation: z.string(), claim: countSchema};

/** A change of the register, as it stands in its log and, one after the other, in its snapshots. */
export const registerLogRecordSchema = z.discriminatedUnion('kind', [
	/** A register without records begins. On the cluster's first start there can be no earlier ids. */
	z.object({
		kind: z.literal('epoch'), atMs: z.number(), epoch: z.string(), isFirstStart: z.boolean(),
	}),
	/** Carries the register's clock forward while nothing else does. */
	z.object({kind: z.literal('tick'), atMs: z.number()}),
	/** A process may start a job. */
	z.object({
		kind: z.literal('claim'), atMs: z.number(), id: nameSchema, contentHash: z.string(), ...claimantShape, taskCount: countSchema,
	}),
	/** The job did not start and may be claimed again. */
	z.object({kind: z.literal('release'), id: nameSchema}),
	/** The job has ended. */
	z.object({
		kind: z.literal('outcome'), atMs: z.number(), id: nameSchema, contentHash: z.string(), ...claimantShape, outcome: bytesSchema.optional(),
	}),
	/** A process is known to be gone, or to live after all. */
	z.object({
		kind: z.literal('process'), daemonId: z.string(), incarnation: z.string(), isGone: z.boolean(),
	}),
	/** A daemon answers for the tickets of a process that stopped as planned. */
	z.object({kind: z.literal('heir'), incarnation: z.string(), heirId: z.string()}),
	/** Whether this keeper owns a partition, and until when it refuses ids that it does not know. */
	z.object({
		kind: z.literal('partition'), partition: countSchema, state: z.enum(['owned', 'taken', 'none']), quarantineUntilMs: z.number(),
	}),
]);

export type RegisterLogRecord = z.infer<typeof registerLogRecordSchema>;
export type RegisterLogRecordOf<Kind extends RegisterLogRecord['kind']> = Extract<RegisterLogRecord, {kind: Kind}>;
