import {
	jobSubmissionSchema, nameSchema, refusalCodeNames, type PeerMessage,
} from '@camphortack/core';
import {z} from 'zod';
import {bytesSchema} from './bytes-schema.js';

const countSchema = z.int().min(0);
/** Correlates an answer with its request: the asking process and a number that is unique within it. */
const requestSchema = z.string().max(160);

/** Names one claim: the process that made it and its number there. */
const claimantShape = {incarnation: z.string().max(128), claim: countSchema};

/** What the owner of an id decided about a claim. */
export const claimAnswerSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('start')}),
	z.object({kind: z.literal('attach'), daemonId: z.string(), ...claimantShape}),
	z.object({kind: z.literal('outcome'), outcome: bytesSchema}),
	z.object({kind: z.literal('refused'), code: z.enum(refusalCodeNames), notRun: z.enum(['job', 'this-copy'])}),
]);

const outcomeItemSchema = z.object({
	id: nameSchema,
	contentHash: z.string().max(64),
	...claimantShape,
	/** Undefined if the outcome was too large to keep. */
	outcome: bytesSchema.optional(),
});

/** A record as one keeper hands it to another. */
export const transferredRecordSchema = z.object({
	id: nameSchema,
	contentHash: z.string(),
	daemonId: z.string(),
	...claimantShape,
	taskCount: countSchema,
	isEnded: z.boolean(),
	outcome: bytesSchema.optional(),
});

/** Messages by which a partition moves from one keeper to another. */
const partitionMessageSchemas = [
	/** Asks the previous owner of a partition for its records. */
	z.object({
		kind: z.literal('register.ask-partition'), partition: countSchema, version: countSchema, part: countSchema,
	}),
	/** Some of the records of a partition; `isKnown` is false if the sender has none to hand over. */
	z.object({
		kind: z.literal('register.partition-part'),
		partition: countSchema,
		version: countSchema,
		part: countSchema,
		isLast: z.boolean(),
		isKnown: z.boolean(),
		quarantineLeftMs: z.number(),
		records: z.array(transferredRecordSchema),
	}),
	/** Says that every record of a partition is durable at its new owner. */
	z.object({kind: z.literal('register.partition-taken'), partition: countSchema, version: countSchema}),
	/** Says that the previous owner durably no longer owns the partition, so that the new one may. */
	z.object({kind: z.literal('register.partition-released'), partition: countSchema, version: countSchema}),
] as const;

/** Messages to the owner of an id. */
export const keeperMessageSchema = z.discriminatedUnion('kind', [
	/** Asks whether a job may start. */
	z.object({
		kind: z.literal('register.claim'), id: nameSchema, contentHash: z.string().max(64), taskCount: countSchema, ...claimantShape,
	}),
	/** Gives back a claim that started nothing. */
	z.object({kind: z.literal('register.release'), id: nameSchema, ...claimantShape}),
	/** Stores outcomes. */
	z.object({kind: z.literal('register.add-outcomes'), batch: requestSchema, items: z.array(outcomeItemSchema)}),
	/** Asks for the stored outcome of a ticket whose issuer is gone. */
	z.object({
		kind: z.literal('register.find-outcome'), request: requestSchema, id: nameSchema, contentHash: z.string().max(64), incarnation: z.string(),
	}),
	/** Says which daemon answers for the tickets of a process that stopped as planned. */
	z.object({kind: z.literal('register.add-heir'), incarnation: z.string(), heirId: z.string()}),
	...partitionMessageSchemas,
]);

/** Messages to the entry daemon's part. */
export const clientMessageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('register.claim-answer'), id: nameSchema, claim: countSchema, incarnation: z.string(), answer: claimAnswerSchema,
	}),
	z.object({kind: z.literal('register.outcomes-added'), batch: requestSchema}),
	z.object({
		kind: z.literal('register.outcome-found'), request: requestSchema, outcome: bytesSchema.optional(), heirId: z.string().optional(), isConflict: z.boolean(), isOwner: z.boolean(),
	}),
	z.object({kind: z.literal('register.heir-added'), incarnation: z.string()}),
	/** Asks the daemon that runs a job for its outcome. */
	z.object({
		kind: z.literal('register.attach'), request: requestSchema, id: nameSchema, ...claimantShape,
	}),
	/** The job is not open in that process, and the request has no effect there. */
	z.object({
		kind: z.literal('register.not-here'), request: requestSchema, incarnation: z.string(), heirId: z.string().optional(),
	}),
	/** The outcome that an attached or forwarded request waits for. */
	z.object({kind: z.literal('register.answer'), request: requestSchema, outcome: bytesSchema}),
	/** Sends a job to the issuer of its ticket. */
	z.object({
		kind: z.literal('register.forward'),
		request: requestSchema,
		incarnation: z.string(),
		contentHash: z.string().max(64),
		job: jobSubmissionSchema.extend({id: nameSchema}),
	}),
	/** Part of the table of tickets of a daemon that stops as planned. */
	z.object({
		kind: z.literal('register.table-part'),
		/** The only process that may take it: a later one of the same daemon would start again what that one started. */
		heirIncarnation: z.string(),
		part: countSchema,
		isLast: z.boolean(),
		availabilityZone: z.string(),
		daemonId: z.string(),
		incarnation: z.string(),
		secret: z.string(),
		firstNumber: countSchema,
		nextNumber: countSchema,
		entries: z.array(z.tuple([countSchema, z.string()])),
	}),
	z.object({kind: z.literal('register.table-part-taken'), incarnation: z.string(), part: countSchema}),
]);

const partitionKinds = new Set<string>(partitionMessageSchemas.map(schema => schema.shape.kind.value));

/** A message by which a partition moves. */
export type PartitionMessage = z.infer<typeof partitionMessageSchemas[number]>;

/** Whether a message belongs to the move of a partition. */
export function isPartitionMessage(message: KeeperMessage): message is PartitionMessage {
	return partitionKinds.has(message.kind);
}

export type ClaimAnswer = z.infer<typeof claimAnswerSchema>;
export type TransferredRecord = z.infer<typeof transferredRecordSchema>;
export type KeeperMessage = z.infer<typeof keeperMessageSchema>;
export type ClientMessage = z.infer<typeof clientMessageSchema>;
export type OutcomeItem = z.infer<typeof outcomeItemSchema>;
export type KeeperMessageOf<Kind extends KeeperMessage['kind']> = Extract<KeeperMessage, {kind: Kind}>;
export type ClientMessageOf<Kind extends ClientMessage['kind']> = Extract<ClientMessage, {kind: Kind}>;

const keeperKinds = new Set<string>(keeperMessageSchema.options.map(option => option.shape.kind.value));
const clientKinds = new Set<string>(clientMessageSchema.options.map(option => option.shape.kind.value));

/** Whether a message is meant for the keeper's part. */
export function isKeeperMessage(message: PeerMessage): boolean {
	return keeperKinds.has(message.kind);
}

/** Whether a message is meant for the entry daemon's part. */
export function isClientMessage(message: PeerMessage): boolean {
	return clientKinds.has(message.kind);
}
