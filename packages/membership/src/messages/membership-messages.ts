import {z} from 'zod';
import {nameSchema} from '@camphortack/core';
import {memberRecordSchema} from '../table/member-record.js';

/** The most records that one message carries. */
export const maxRecordsPerMessage = 100;

/** The most changes that travel with a message. */
export const maxUpdatesPerMessage = 10;

const maxZones = 64;

/** What a gateway says about another availability zone. */
export const zoneObservationSchema = z.object({
	availabilityZone: nameSchema,
	observerId: nameSchema,
	observerIncarnation: nameSchema,
	/** Rises with each change at the observer. */
	sequence: z.int().min(0),
	/** Missing once the observer is no gateway any more: what it saw earlier no longer counts. */
	isReachable: z.boolean().optional(),
});

export type ZoneObservation = z.infer<typeof zoneObservationSchema>;

/** The changes that travel with every message. */
const updatesShape = {
	records: z.array(memberRecordSchema).max(maxRecordsPerMessage),
	observations: z.array(zoneObservationSchema).max(maxRecordsPerMessage),
};

/** Which process sent the message, so that a restart or a false death is noticed at once. */
const senderShape = {
	incarnation: nameSchema,
	counter: z.int().min(0),
};

const digestsSchema = z.array(z.object({availabilityZone: nameSchema, digest: z.int().min(0)})).max(maxZones);

/** Every message between the membership parts of daemons. */
export const membershipMessageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('membership.ping'), sequence: z.int().min(0), ...senderShape, ...updatesShape,
	}),
	z.object({
		kind: z.literal('membership.ack'), sequence: z.int().min(0), ...senderShape, ...updatesShape,
	}),
	z.object({
		kind: z.literal('membership.ping-request'), sequence: z.int().min(0), targetId: nameSchema, ...senderShape, ...updatesShape,
	}),
	z.object({
		kind: z.literal('membership.relayed-ack'), targetId: nameSchema, targetIncarnation: nameSchema, ...senderShape, ...updatesShape,
	}),
	z.object({kind: z.literal('membership.gossip'), ...senderShape, ...updatesShape}),
	z.object({
		kind: z.literal('membership.exchange'), sender: memberRecordSchema, digests: digestsSchema, isReply: z.boolean(),
	}),
	/** Answers an exchange: the records of the availability zones whose digests differ. */
	z.object({kind: z.literal('membership.records'), ...senderShape, ...updatesShape}),
	z.object({
		kind: z.literal('membership.summary'), sender: memberRecordSchema, digest: z.int().min(0), needsReply: z.boolean(),
	}),
]);

export type MembershipMessage = z.infer<typeof membershipMessageSchema>;

/** A message of one kind. */
export type MembershipMessageOf<Kind extends MembershipMessage['kind']> = Extract<MembershipMessage, {kind: Kind}>;
