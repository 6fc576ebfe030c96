import {z} from 'zod';
import type {ConfigurationObjects} from '@camphortack/configuration';
import {objectChangeSchema} from '../content/object-change.js';

/** A request of an operator to publish a set of objects. */
export type PublishRequest = {
	/** The version that the objects are based on. */
	baseVersion: number;
	/** Idempotency key chosen by the operator. A resend with the same id gets the result of the first publish. */
	publishId: string;
	/** The whole set of objects, already validated. */
	objects: ConfigurationObjects;
	author: string;
};

/** A publish as it is sent to the leader: only the changes. */
export const publishProposalSchema = z.object({
	baseVersion: z.int().min(0),
	publishId: z.string().min(1).max(128),
	author: z.string().max(256),
	/** The digest of the whole set after the publish. */
	digest: z.number(),
	/** Omitted if the sender already knows a version later than the base. */
	changes: z.array(objectChangeSchema).optional(),
});

export const publishResultSchema = z.discriminatedUnion('outcome', [
	z.object({outcome: z.literal('published'), version: z.int()}),
	z.object({
		outcome: z.literal('conflict'),
		/** The active version. */
		version: z.int(),
		/** The publish that created the version after the base, if it is still in the history. */
		winner: z.object({version: z.int(), author: z.string(), publishId: z.string()}).optional(),
	}),
	z.object({outcome: z.literal('rejected'), reason: z.enum(['publish-id-reused', 'digest-mismatch', 'too-large', 'unknown-base'])}),
	/** No majority responded in time. `unknown`: the publish may still become active; resend it with the same id to get the outcome. */
	z.object({outcome: z.literal('no-majority'), state: z.enum(['unknown', 'not-published'])}),
]);

export type PublishProposal = z.infer<typeof publishProposalSchema>;
export type PublishResult = z.infer<typeof publishResultSchema>;
