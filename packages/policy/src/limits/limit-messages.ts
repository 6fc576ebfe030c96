import {z} from 'zod';

const amountSchema = z.number().min(0).max(1e12);

/** One share that a daemon or the share manager of another availability zone holds or requests. */
export const shareReportSchema = z.strictObject({
	key: z.string().max(300),
	/** Distinguishes the periods in which one daemon was share manager; empty for the share of the daemon itself. */
	tenure: z.string().max(64),
	/** The sequence number of the request whose grant is in effect. */
	adopted: z.int().min(0),
	/** The maximum that the sender holds from now on until a new grant allows more. */
	claim: amountSchema,
	want: amountSchema,
	/** The amount of the smallest job that was refused for an insufficient share, or 0. */
	need: amountSchema,
});

/** A message between the limiters of two daemons. */
export const limitMessageSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('limits.request'),
		incarnation: z.string().max(128),
		isForeign: z.boolean(),
		sequence: z.int().min(1),
		reports: z.array(shareReportSchema).max(10_000),
	}),
	z.strictObject({
		kind: z.literal('limits.grant'),
		/** The incarnation of the daemon that sent the request. */
		incarnation: z.string().max(128),
		sequence: z.int().min(1),
		grants: z.array(z.strictObject({key: z.string().max(300), amount: amountSchema})).max(10_000),
	}),
	z.strictObject({
		kind: z.literal('limits.ledger'),
		transferId: z.string().max(64),
		key: z.string().max(300),
		/** The amount that the sender managed. */
		entitlement: amountSchema,
		unknown: amountSchema,
		/** Whether the sender had taken over so recently that it had not leased out anything new. */
		isUnconfirmed: z.boolean(),
		clients: z.array(z.strictObject({clientKey: z.string().max(300), isForeign: z.boolean(), committed: amountSchema})).max(10_000),
	}),
	z.strictObject({kind: z.literal('limits.ledger-received'), transferId: z.string().max(64)}),
	z.strictObject({kind: z.literal('limits.farewell'), incarnation: z.string().max(128)}),
]);

/**
 * The lists that may lose rows: a report or grant that is missing counts as one that was lost on its way, for its limit only.
 * The clients of a ledger must be complete, as a client that is missing would count as one without a share.
 */
export const tolerantLists = ['reports', 'grants'];

export type ShareReport = z.infer<typeof shareReportSchema>;
export type LimitMessage = z.infer<typeof limitMessageSchema>;
export type LedgerMessage = Extract<LimitMessage, {kind: 'limits.ledger'}>;
export type RequestMessage = Extract<LimitMessage, {kind: 'limits.request'}>;
export type GrantMessage = Extract<LimitMessage, {kind: 'limits.grant'}>;
