import {z} from 'zod';
import {objectChangeSchema} from '../content/object-change.js';
import {evacuationsSchema} from '../publish/evacuation-schemas.js';
import {publishResultSchema} from '../publish/publish-schemas.js';

/** Random id of a daemon's start. A message for an earlier start is dropped, since it says nothing about the state after the restart. */
const startIdSchema = z.int();

/** The evacuations that the sender knows; absent before the first order. Daemons of earlier versions ignore the field. */
const optionalEvacuationsSchema = evacuationsSchema.optional();

/** All messages that distribute the configuration between daemons. */
export const followerMessageSchema = z.discriminatedUnion('kind', [
	/** Subscribes to the changes after a version, and to each later version until the subscription expires a few seconds later. */
	z.object({
		kind: z.literal('configuration.subscribe'),
		startId: startIdSchema,
		version: z.int(),
		availabilityZone: z.string(),
		/** Whether the sender has had no active version since its start. Only a keeper may respond then. */
		isStarting: z.boolean(),
		/** Whether the sender's objects do not match the digest, so that it needs all of them. */
		needsWhole: z.boolean(),
	}),
	/** Response to a subscriber that is up to date; also sent to each subscriber when the evacuations have changed. */
	z.object({
		kind: z.literal('configuration.digest'),
		startId: startIdSchema,
		version: z.int(),
		digest: z.number(),
		keeperAgeMs: z.number(),
		evacuations: optionalEvacuationsSchema,
	}),
	/** A piece of the changes from one version (0: no objects) to another. */
	z.object({
		kind: z.literal('configuration.update'),
		startId: startIdSchema,
		fromVersion: z.int(),
		version: z.int(),
		digest: z.number(),
		pieceIndex: z.int().min(0),
		pieceCount: z.int().min(1),
		changes: z.array(objectChangeSchema),
		/** Time since the sender, or the keeper that the update comes from, was in contact with a majority of the keepers. */
		keeperAgeMs: z.number(),
		evacuations: optionalEvacuationsSchema,
	}),
	z.object({
		kind: z.literal('configuration.publish-result'),
		requestId: z.string(),
		result: publishResultSchema,
	}),
]);

export type FollowerMessage = z.infer<typeof followerMessageSchema>;
export type FollowerMessageOf<Kind extends FollowerMessage['kind']> = Extract<FollowerMessage, {kind: Kind}>;
