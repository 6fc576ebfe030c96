import {z} from 'zod';

/** A queue: the endpoint at which callers submit jobs, and the policy for these jobs. */
export const queueSchema = z.object({
	name: z.string(),
	host: z.string(),
	pathPrefix: z.string(),
	service: z.string(),
	/** The timeout of a caller that specifies none. */
	timeoutMs: z.number(),
	/** Added to `stretch` times the run time to get the latency objective. */
	slackMs: z.number(),
	stretch: z.number(),
	mostAttempts: z.number(),
	/** 0 is the highest priority. */
	priority: z.number(),
	/** Whether an external service decides which backend servers may run a step. */
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
