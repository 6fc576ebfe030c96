import {z} from 'zod';

/** An operator's order to evacuate an availability zone, or to withdraw that. */
export const evacuationOrderSchema = z.object({
	/** Identifies the order in all messages and log entries that it causes, so that it takes effect at most once. */
	requestId: z.string(),
	availabilityZone: z.string(),
	isEvacuated: z.boolean(),
});

/** The evacuated availability zones. */
export const evacuationsSchema = z.object({
	/** Increases by one with each change; 0 before the first one. */
	revision: z.int().min(0),
	availabilityZones: z.array(z.string()),
});

/** The evacuations as stored in a snapshot. */
export const evacuationStateSchema = evacuationsSchema.extend({
	/** The ids of the last orders in the log, oldest first. */
	requestIds: z.array(z.string()),
});

export const evacuationResultSchema = z.discriminatedUnion('outcome', [
	/** The order, or one with the same effect, is durable on a majority. */
	z.object({outcome: z.literal('stored'), revision: z.int()}),
	/** No majority responded in time. The order may still take effect; resend it to get the outcome. */
	z.object({outcome: z.literal('no-majority')}),
]);

export type EvacuationOrder = z.infer<typeof evacuationOrderSchema>;
export type Evacuations = z.infer<typeof evacuationsSchema>;
export type EvacuationState = z.infer<typeof evacuationStateSchema>;
export type EvacuationResult = z.infer<typeof evacuationResultSchema>;
