import {z} from 'zod';

const amountSchema = z.number().min(0).max(1e12);

/** One share that a daemon, or the share manager of another availability zone, holds or wants. */
export const shareReportSchema = z.strictObject({
	key: z.string().max(300),
	/** What tells apart the times for which one daemon was share manager; empty for a daemon's own share. */
	tenure: z.string().max(64),
	/** The sequence of the request whose answer is in force. */
	adopted: z.int().min(0),
	/** What the sender may hold from now on until an answer allows more. */
	claim: amountSchema,
	want: amountSchema,
	/** The smallest job that was refused for lack of a share, or 0. */
	need: amountSchema,
});

/** A message of this package to another daemon. */
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
		/** The incarnation of the daemon that asked. */
		incarnation: z.string().max(128),
		sequence: z.int().min(1),
		grants: z.array(z.strictObject({key: z.string().max(300), amount: amountSchema})).max(10_000),
	}),
	z.strictObject({
		kind: z.literal('limits.ledger'),
		transferId: z.string().max(64),
		key: z.string().max(300),
		/** What the sender was in charge of. */
		entitlement: amountSchema,
		unknown: amountSchema,
		/** Whether the sender had taken over so recently that it leased out nothing new. */
		isUnconfirmed: z.boolean(),
		clients: z.array(z.strictObject({clientKey: z.string().max(300), isForeign: z.boolean(), committed: amountSchema})).max(10_000),
	}),
	z.strictObject({kind: z.literal('limits.ledger-received'), transferId: z.string().max(64)}),
	z.strictObject({kind: z.literal('limits.farewell'), incarnation: z.string().max(128)}),
]);

export type ShareReport = z.infer<typeof shareReportSchema>;
export type LimitMessage = z.infer<typeof limitMessageSchema>;
export type LedgerMessage = Extract<LimitMessage, {kind: 'limits.ledger'}>;
export type RequestMessage = Extract<LimitMessage, {kind: 'limits.request'}>;
export type GrantMessage = Extract<LimitMessage, {kind: 'limits.grant'}>;
