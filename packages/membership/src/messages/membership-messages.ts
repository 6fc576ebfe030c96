import {z} from 'zod';
import {nameSchema} from '@camphortack/core';
import {countSchema, memberRecordSchema} from '../table/member-record.js';

/** The maximum number of records in a message. */
export const maxRecordsPerMessage = 100;

/** The maximum number of updates piggybacked on a message. */
export const maxUpdatesPerMessage = 10;

const maxZones = 64;

/** The reachability of another availability zone as observed by a gateway. */
export const zoneObservationSchema = z.object({
	availabilityZone: nameSchema,
	observerId: nameSchema,
	observerIncarnation: nameSchema,
	/** Incremented by the observer with each observation. */
	sequence: countSchema,
	/** Undefined once the observer is no longer a gateway, which invalidates its previous observations. */
	isReachable: z.boolean().optional(),
});

export type ZoneObservation = z.infer<typeof zoneObservationSchema>;

/** The updates piggybacked on a message. */
const updatesShape = {
	records: z.array(memberRecordSchema).max(maxRecordsPerMessage),
	observations: z.array(zoneObservationSchema).max(maxRecordsPerMessage),
};

/** Identifies the sending process, so that a restart or a false death is detected on the first message. */
const senderShape = {
	incarnation: nameSchema,
	counter: countSchema,
};

const digestsSchema = z.array(z.object({availabilityZone: nameSchema, digest: z.int().min(0)})).max(maxZones);

/** The messages of the membership protocol. */
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
	/** The reply to an exchange: the records of the availability zones whose digests differ. */
	z.object({kind: z.literal('membership.records'), ...senderShape, ...updatesShape}),
	z.object({
		kind: z.literal('membership.summary'), sender: memberRecordSchema, digest: z.int().min(0), needsReply: z.boolean(),
	}),
]);

/**
 * The lists that may lose rows, as nothing follows from the absence of a row: a daemon leaves the member list by a row of its
 * own, and daemons whose tables differ exchange them again.
 */
export const tolerantLists = ['records', 'observations', 'digests'];

export type MembershipMessage = z.infer<typeof membershipMessageSchema>;

/** A message of one kind. */
export type MembershipMessageOf<Kind extends MembershipMessage['kind']> = Extract<MembershipMessage, {kind: Kind}>;
