import {z} from 'zod';
import {objectChangeSchema} from '../content/object-change.js';
import {publishResultSchema} from '../publish/publish-schemas.js';

/** Drawn anew by each start of a daemon; what was meant for an earlier start is dropped, since it proves nothing to this one. */
const startIdSchema = z.int();

/** Every message that carries the configuration from a daemon to the next. */
export const followerMessageSchema = z.discriminatedUnion('kind', [
	/** Asks to be sent what is later than a version, and each later version for a few seconds. */
	z.object({
		kind: z.literal('configuration.subscribe'),
		startId: startIdSchema,
		version: z.int(),
		availabilityZone: z.string(),
		/** The sender has nothing in force since its start; only a keeper may answer. */
		isStarting: z.boolean(),
		/** What the sender has does not fit the digest; it needs every object. */
		needsWhole: z.boolean(),
	}),
	/** Answers a subscriber that lacks nothing. */
	z.object({
		kind: z.literal('configuration.digest'),
		startId: startIdSchema,
		version: z.int(),
		digest: z.number(),
		keeperAgeMs: z.number(),
	}),
	/** A piece of the changes that lead from one version (0: no objects) to another. */
	z.object({
		kind: z.literal('configuration.update'),
		startId: startIdSchema,
		fromVersion: z.int(),
		version: z.int(),
		digest: z.number(),
		pieceIndex: z.int().min(0),
		pieceCount: z.int().min(1),
		changes: z.array(objectChangeSchema),
		/** How long ago the sender, or the keeper that it has this from, heard a majority of the keepers. */
		keeperAgeMs: z.number(),
	}),
	z.object({
		kind: z.literal('configuration.publish-result'),
		requestId: z.string(),
		result: publishResultSchema,
	}),
]);

export type FollowerMessage = z.infer<typeof followerMessageSchema>;
export type FollowerMessageOf<Kind extends FollowerMessage['kind']> = Extract<FollowerMessage, {kind: Kind}>;
