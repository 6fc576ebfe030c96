import {z} from 'zod';
import type {ConfigurationObjects} from '@camphortack/configuration';
import {objectChangeSchema} from '../content/object-change.js';

/** What an operator asks to publish. */
export type PublishRequest = {
	/** The version that the objects were edited from. */
	baseVersion: number;
	/** Of the operator's choosing; a resend carries the same one and gets the first result. */
	publishId: string;
	/** The whole set, already checked. */
	objects: ConfigurationObjects;
	author: string;
};

/** A publish as it travels to the leader: only what changed. */
export const publishProposalSchema = z.object({
	baseVersion: z.int().min(0),
	publishId: z.string().min(1).max(128),
	author: z.string().max(256),
	/** The digest of the whole set after the publish. */
	digest: z.number(),
	/** Left out if the sender already knows a version later than the base. */
	changes: z.array(objectChangeSchema).optional(),
});

export const publishResultSchema = z.discriminatedUnion('outcome', [
	z.object({outcome: z.literal('published'), version: z.int()}),
	z.object({
		outcome: z.literal('conflict'),
		/** The version now in force. */
		version: z.int(),
		/** The publish that took the version after the base, if it is still in the history. */
		winner: z.object({version: z.int(), author: z.string(), publishId: z.string()}).optional(),
	}),
	z.object({outcome: z.literal('rejected'), reason: z.enum(['publish-id-reused', 'digest-mismatch', 'too-large', 'unknown-base'])}),
	/** No majority answered in time. `unknown`: it may still come into force; a resend with the same id tells. */
	z.object({outcome: z.literal('no-majority'), state: z.enum(['unknown', 'not-published'])}),
]);

export type PublishProposal = z.infer<typeof publishProposalSchema>;
export type PublishResult = z.infer<typeof publishResultSchema>;
