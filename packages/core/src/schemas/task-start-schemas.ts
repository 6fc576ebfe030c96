import {z} from 'zod';
import {jsonValueSchema} from './json-value-schema.js';

/** One task in a message to a backend server. */
export const taskStartSchema = z.strictObject({
	/** Fresh for each attempt; the answer names it. */
	attempt: z.string(),
	/** The job and the task's index in it. */
	job: z.string(),
	index: z.int().min(0),
	service: z.string(),
	payload: jsonValueSchema,
});

/** The body of `POST /v1/tasks` at a backend server: one or more tasks, each for one slot. */
export const taskStartBatchSchema = z.strictObject({
	/** The lease under which the slots are used. */
	lease: z.string(),
	/** How long the caller still waits. */
	deadlineMs: z.number(),
	tasks: z.array(taskStartSchema).min(1),
});

/**
 * One line of the answer (newline-delimited JSON, one line a task, in the order in which they end).
 * `done` has a result, `error` ran and failed, `not-run` certainly did not start.
 */
export const taskAnswerSchema = z.discriminatedUnion('state', [
	z.object({attempt: z.string(), state: z.literal('done'), result: jsonValueSchema}),
	z.object({attempt: z.string(), state: z.literal('error'), message: z.string()}),
	z.object({attempt: z.string(), state: z.literal('not-run'), reason: z.string()}),
]);

/** The body of `POST /v1/tasks/stop` at a backend server. */
export const taskStopSchema = z.strictObject({
	attempts: z.array(z.string()).min(1),
});

export type TaskStart = z.infer<typeof taskStartSchema>;
export type TaskStartBatch = z.infer<typeof taskStartBatchSchema>;
export type TaskAnswer = z.infer<typeof taskAnswerSchema>;
