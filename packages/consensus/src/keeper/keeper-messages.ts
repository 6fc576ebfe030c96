import {z} from 'zod';
import {documentResultSchema, numberedDocumentSchema} from '../publish/document-schemas.js';
import {publishProposalSchema, publishResultSchema} from '../publish/publish-schemas.js';
import {logEntrySchema} from './log-entry.js';

const headerShape = {
	term: z.int().min(0),
	/** The identities of sender and receiver; a message for an identity whose disk was lost is dropped. */
	fromIdentity: z.string(),
	toIdentity: z.string(),
};

/** Every message between keepers, and from daemons to keepers. */
export const keeperMessageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('consensus.vote-request'),
		...headerShape,
		lastIndex: z.int(),
		lastTerm: z.int(),
		isPreVote: z.boolean(),
		/** The leader itself asked for this election. */
		isTransfer: z.boolean(),
	}),
	z.object({
		kind: z.literal('consensus.vote-answer'),
		...headerShape,
		/** The term that was asked for. */
		askedTerm: z.int(),
		isPreVote: z.boolean(),
		isGranted: z.boolean(),
	}),
	z.object({
		kind: z.literal('consensus.append'),
		...headerShape,
		/** Left out once the receiver has shown that it belongs to the cluster. */
		clusterId: z.string().optional(),
		previousIndex: z.int(),
		previousTerm: z.int(),
		entries: z.array(logEntrySchema),
		commitIndex: z.int(),
		round: z.int(),
	}),
	/** Committed entries that a voter passes on to a learner in the leader's place. */
	z.object({
		kind: z.literal('consensus.feed'),
		...headerShape,
		previousIndex: z.int(),
		previousTerm: z.int(),
		entries: z.array(logEntrySchema),
	}),
	z.object({
		kind: z.literal('consensus.append-answer'),
		...headerShape,
		isMatched: z.boolean(),
		/** If matched: the last index that is synced and equal. Else: where the leader may try next. */
		index: z.int(),
		round: z.int(),
	}),
	z.object({
		kind: z.literal('consensus.snapshot-piece'),
		...headerShape,
		clusterId: z.string(),
		lastIndex: z.int(),
		lastTerm: z.int(),
		offset: z.int(),
		isLast: z.boolean(),
		bytes: z.instanceof(Uint8Array),
	}),
	z.object({
		kind: z.literal('consensus.snapshot-answer'),
		...headerShape,
		lastIndex: z.int(),
		nextOffset: z.int(),
	}),
	z.object({kind: z.literal('consensus.timeout-now'), ...headerShape}),
	z.object({
		kind: z.literal('consensus.join'),
		identity: z.string(),
		availabilityZone: z.string(),
		clusterId: z.string().optional(),
	}),
	z.object({kind: z.literal('consensus.bootstrap-request'), clusterId: z.string()}),
	z.object({
		kind: z.literal('consensus.bootstrap-answer'),
		clusterId: z.string(),
		identity: z.string(),
		availabilityZone: z.string(),
		/** False if the keeper belongs to another cluster already. */
		isBound: z.boolean(),
	}),
	z.object({
		kind: z.literal('consensus.publish'),
		requestId: z.string(),
		proposal: publishProposalSchema,
		/** A keeper passes a publish on to the leader once, never further. */
		isFromKeeper: z.boolean(),
	}),
	z.object({
		kind: z.literal('consensus.publish-result'),
		requestId: z.string(),
		result: publishResultSchema,
	}),
	z.object({
		kind: z.literal('consensus.put-document'),
		requestId: z.string(),
		document: numberedDocumentSchema,
	}),
	z.object({
		kind: z.literal('consensus.put-document-result'),
		requestId: z.string(),
		result: documentResultSchema,
	}),
	z.object({kind: z.literal('consensus.barrier'), nonce: z.string()}),
	z.object({kind: z.literal('consensus.barrier-answer'), nonce: z.string(), index: z.int()}),
]);

export type KeeperMessage = z.infer<typeof keeperMessageSchema>;
export type KeeperMessageOf<Kind extends KeeperMessage['kind']> = Extract<KeeperMessage, {kind: Kind}>;
