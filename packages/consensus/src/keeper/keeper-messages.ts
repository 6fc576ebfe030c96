import {z} from 'zod';
import {documentResultSchema, numberedDocumentSchema} from '../publish/document-schemas.js';
import {evacuationOrderSchema, evacuationResultSchema} from '../publish/evacuation-schemas.js';
import {publishProposalSchema, publishResultSchema} from '../publish/publish-schemas.js';
import {logEntrySchema} from './log-entry.js';

/**
 * Each election increments the term by one, so terms never come near this. A keeper adopts and stores any higher term that it
 * receives, and no election could follow the largest integer.
 */
const maxTerm = 1_099_511_627_776;

const headerShape = {
	term: z.int().min(0).max(maxTerm),
	/** The identities of the sender and the receiver. A message to the identity of a lost disk is dropped. */
	fromIdentity: z.string(),
	toIdentity: z.string(),
};

/** All messages between keepers, and from daemons to keepers. */
export const keeperMessageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('consensus.vote-request'),
		...headerShape,
		lastIndex: z.int(),
		lastTerm: z.int(),
		isPreVote: z.boolean(),
		/** Whether the leader itself requested this election (leadership transfer). */
		isTransfer: z.boolean(),
	}),
	z.object({
		kind: z.literal('consensus.vote-answer'),
		...headerShape,
		/** The term of the vote request. */
		askedTerm: z.int(),
		isPreVote: z.boolean(),
		isGranted: z.boolean(),
	}),
	z.object({
		kind: z.literal('consensus.append'),
		...headerShape,
		/** Omitted once the receiver is known to belong to the cluster. */
		clusterId: z.string().optional(),
		previousIndex: z.int(),
		previousTerm: z.int(),
		entries: z.array(logEntrySchema),
		commitIndex: z.int(),
		round: z.int(),
		/** Set if the receiver is leaving and no learner can take over its vote. Leaders of earlier versions never set it. */
		isVoteKept: z.boolean().optional(),
	}),
	/** Committed entries that a voter sends to a learner on behalf of the leader. */
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
		/** If matched, the last index that is synced and matches the leader's log; otherwise the index that the leader should try next. */
		index: z.int(),
		round: z.int(),
		/** Whether the sender is leaving. Its vote is to be given to a learner. */
		isLeaving: z.boolean().optional(),
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
		/** True if the keeper already belongs to another cluster. */
		isBound: z.boolean(),
	}),
	z.object({
		kind: z.literal('consensus.publish'),
		requestId: z.string(),
		proposal: publishProposalSchema,
		/** Whether a keeper forwarded the publish. Forwarded publishes are not forwarded again, so a publish takes at most one hop between keepers. */
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
	z.object({kind: z.literal('consensus.set-evacuation'), order: evacuationOrderSchema}),
	z.object({
		kind: z.literal('consensus.set-evacuation-result'),
		requestId: z.string(),
		result: evacuationResultSchema,
	}),
	z.object({kind: z.literal('consensus.barrier'), nonce: z.string()}),
	z.object({kind: z.literal('consensus.barrier-answer'), nonce: z.string(), index: z.int()}),
]);

export type KeeperMessage = z.infer<typeof keeperMessageSchema>;
export type KeeperMessageOf<Kind extends KeeperMessage['kind']> = Extract<KeeperMessage, {kind: Kind}>;
