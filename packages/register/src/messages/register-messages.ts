import {
	jobSubmissionSchema, nameSchema, refusalCodeNames, type PeerMessage,
} from '@camphortack/core';
import {z} from 'zod';
import {bytesSchema} from './bytes-schema.js';

const countSchema = z.int().min(0);
/** Correlates an answer with its request. Consists of the requesting incarnation and a number that is unique within it. */
const requestSchema = z.string().max(160);

/** Identifies a claim by the claiming process and a number that is unique within it. */
const claimantShape = {incarnation: z.string().max(128), claim: countSchema};

/** The decision of an id's owner about a claim. */
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
	/** Undefined if the outcome was too large to be kept. */
	outcome: bytesSchema.optional(),
});

/** A job record as transferred between keepers. */
export const transferredRecordSchema = z.object({
	id: nameSchema,
	contentHash: z.string(),
	daemonId: z.string(),
	...claimantShape,
	taskCount: countSchema,
	isEnded: z.boolean(),
	outcome: bytesSchema.optional(),
});

/** Messages that transfer a partition between keepers. */
const partitionMessageSchemas = [
	/** Requests a part of the records of a partition from its previous owner. */
	z.object({
		kind: z.literal('register.ask-partition'), partition: countSchema, version: countSchema, part: countSchema,
	}),
	/** A part of the records of a partition. `isKnown` is false if the sender does not own the partition and has no records to transfer. */
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
	/** Confirms that all records of a partition are durable at its new owner. */
	z.object({kind: z.literal('register.partition-taken'), partition: countSchema, version: countSchema}),
	/** Confirms that the previous owner has durably released the partition, so that the new owner may take ownership. */
	z.object({kind: z.literal('register.partition-released'), partition: countSchema, version: countSchema}),
] as const;

/** Messages to the owner of an id. */
export const keeperMessageSchema = z.discriminatedUnion('kind', [
	/** Requests the right to start a job. */
	z.object({
		kind: z.literal('register.claim'), id: nameSchema, contentHash: z.string().max(64), taskCount: countSchema, ...claimantShape,
	}),
	/** Releases a claim whose job was not started. */
	z.object({kind: z.literal('register.release'), id: nameSchema, ...claimantShape}),
	/** Stores outcomes. */
	z.object({kind: z.literal('register.add-outcomes'), batch: requestSchema, items: z.array(outcomeItemSchema)}),
	/** Requests the stored outcome of a ticket whose issuer is gone or no longer has it. */
	z.object({
		kind: z.literal('register.find-outcome'), request: requestSchema, id: nameSchema, contentHash: z.string().max(64), incarnation: z.string(),
	}),
	/** Announces the successor (`heirId`) that handles the tickets of a process after its planned stop. */
	z.object({kind: z.literal('register.add-heir'), incarnation: z.string(), heirId: z.string()}),
	...partitionMessageSchemas,
]);

/** Messages to the client side, which runs in entry daemons. */
export const clientMessageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('register.claim-answer'), id: nameSchema, claim: countSchema, incarnation: z.string(), answer: claimAnswerSchema,
	}),
	z.object({kind: z.literal('register.outcomes-added'), batch: requestSchema}),
	z.object({
		kind: z.literal('register.outcome-found'), request: requestSchema, outcome: bytesSchema.optional(), heirId: z.string().optional(), isConflict: z.boolean(), isOwner: z.boolean(),
	}),
	z.object({kind: z.literal('register.heir-added'), incarnation: z.string()}),
	/** Requests the outcome of a job from the daemon that runs it. */
	z.object({
		kind: z.literal('register.attach'), request: requestSchema, id: nameSchema, ...claimantShape,
	}),
	/** Reports that the job is not open in the process that sends this message, so the request had no effect there. */
	z.object({
		kind: z.literal('register.not-here'), request: requestSchema, incarnation: z.string(), heirId: z.string().optional(),
	}),
	/** Delivers the outcome for an attached or forwarded request. */
	z.object({kind: z.literal('register.answer'), request: requestSchema, outcome: bytesSchema}),
	/** Forwards a job to the issuer of its ticket or to its successor. */
	z.object({
		kind: z.literal('register.forward'),
		request: requestSchema,
		incarnation: z.string(),
		contentHash: z.string().max(64),
		job: jobSubmissionSchema.extend({id: nameSchema}),
	}),
	/** A part of the ticket table of a daemon that performs a planned stop. */
	z.object({
		kind: z.literal('register.table-part'),
		/** The only incarnation that may adopt the table. A later one of the same daemon could start jobs again that this one has already started. */
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

/** A message of a partition transfer. */
export type PartitionMessage = z.infer<typeof partitionMessageSchemas[number]>;

/** Whether a message belongs to a partition transfer. */
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

/** Whether a message is meant for the keeper side. */
export function isKeeperMessage(message: PeerMessage): boolean {
	return keeperKinds.has(message.kind);
}

/** Whether a message is meant for the client side. */
export function isClientMessage(message: PeerMessage): boolean {
	return clientKinds.has(message.kind);
}
