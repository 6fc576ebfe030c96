import {z} from 'zod';

/** What is known of one daemon. A higher counter wins; with equal ones the later state of this list does. */
export const memberStates = ['alive', 'suspected', 'dead', 'left'] as const;

export const memberRecordSchema = z.strictObject({
	id: z.string().max(128),
	/** Fresh for each start of the daemon's process. */
	incarnation: z.string().max(128),
	/** Raised only by the daemon itself, to refute what is said of it. */
	counter: z.int().min(0),
	state: z.enum(memberStates),
	availabilityZone: z.string().max(128),
	roles: z.array(z.enum(['entry', 'keeper'])).max(2),
	host: z.string().max(255),
	peerPort: z.int().min(0).max(65_535),
});

/** Whether another availability zone can be heard, as its gateway here says. */
export const zoneRecordSchema = z.strictObject({
	zone: z.string().max(128),
	counter: z.int().min(0),
	isVisible: z.boolean(),
});

/** Changes that travel with other messages. */
const updatesSchema = z.strictObject({
	members: z.array(memberRecordSchema).max(200),
	zones: z.array(zoneRecordSchema).max(1000),
});

export const membershipMessageSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('membership.ping'),
		sequence: z.int(),
		/** Of the sender's table, so that the receiver notices what it has missed. */
		digest: z.int().min(0),
		updates: updatesSchema,
	}),
	z.strictObject({kind: z.literal('membership.ack'), sequence: z.int(), updates: updatesSchema}),
	z.strictObject({
		kind: z.literal('membership.ping-request'),
		sequence: z.int(),
		targetId: z.string().max(128),
		updates: updatesSchema,
	}),
	/** Asks for everything that the receiver knows. */
	z.strictObject({kind: z.literal('membership.join'), member: memberRecordSchema}),
	z.strictObject({kind: z.literal('membership.updates'), updates: updatesSchema}),
	z.strictObject({
		kind: z.literal('membership.zone-summary'),
		zone: z.string().max(128),
		digest: z.int().min(0),
		/** The daemons of the zone; only if the receiver does not have this digest. */
		members: z.array(memberRecordSchema).max(1000).optional(),
	}),
	z.strictObject({
		kind: z.literal('membership.zone-summary-received'),
		/** The zone of the sender, which confirms. */
		zone: z.string().max(128),
		digest: z.int().min(0),
	}),
]);

export type MemberState = typeof memberStates[number];
export type MemberRecord = z.infer<typeof memberRecordSchema>;
export type ZoneRecord = z.infer<typeof zoneRecordSchema>;
export type Updates = z.infer<typeof updatesSchema>;
export type MembershipMessage = z.infer<typeof membershipMessageSchema>;
export type SummaryMessage = Extract<MembershipMessage, {kind: 'membership.zone-summary'}>;
export type SummaryReceivedMessage = Extract<MembershipMessage, {kind: 'membership.zone-summary-received'}>;
