import {z} from 'zod';
import {evacuationResultSchema, evacuationsSchema} from '../publish/evacuation-schemas.js';

/** All messages about evacuations, besides those of the keepers. Daemons of earlier versions drop them. */
export const evacuationMessageSchema = z.discriminatedUnion('kind', [
	/** Asks whether the receiver knows evacuations. Sent only when an operator orders one. */
	z.object({kind: z.literal('evacuations.support-request')}),
	z.object({kind: z.literal('evacuations.support')}),
	/** The evacuations that a keeper knows, for a keeper that has just joined. Sent only after the first order. */
	z.object({kind: z.literal('evacuations.known'), evacuations: evacuationsSchema}),
]);

/** All messages to the client of a daemon: those above, and the result of an order that a daemon without a keeper has forwarded. */
export const clientMessageSchema = z.discriminatedUnion('kind', [
	...evacuationMessageSchema.options,
	z.object({kind: z.literal('consensus.set-evacuation-result'), requestId: z.string(), result: evacuationResultSchema}),
]);

export type EvacuationMessage = z.infer<typeof evacuationMessageSchema>;
export type ClientMessage = z.infer<typeof clientMessageSchema>;
