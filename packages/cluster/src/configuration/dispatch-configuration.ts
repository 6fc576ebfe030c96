import {z} from 'zod';

/** A queue: where callers hand jobs in, and how its jobs are treated. */
export const queueSchema = z.object({
	name: z.string(),
	host: z.string(),
	pathPrefix: z.string(),
	service: z.string(),
	/** How long a caller waits if it does not say. */
	timeoutMs: z.number(),
	/** Added to the stretched run time for the latency objective. */
	slackMs: z.number(),
	stretch: z.number(),
	mostAttempts: z.number(),
	/** 0 comes first. */
	priority: z.number(),
	/** An outside service says which backend servers may run a step. */
	needsApproval: z.boolean(),
});

export const dispatchConfigurationSchema = z.object({
	version: z.int(),
	queues: z.array(queueSchema),
	services: z.array(z.string()),
	mostBodyBytes: z.number(),
	idleTimeoutMs: z.number(),
});

export type Queue = z.infer<typeof queueSchema>;
export type DispatchConfiguration = z.infer<typeof dispatchConfigurationSchema>;
