import {z} from 'zod';
import {jsonValueSchema} from './json-value-schema.js';

/** One task in a request to a backend server. */
export const taskStartSchema = z.strictObject({
	/** Unique to each attempt; the response refers to it. */
	attempt: z.string(),
	/** The id of the job; `index` is the position of the task in it. */
	job: z.string(),
	index: z.int().min(0),
	service: z.string(),
	payload: jsonValueSchema,
});

/** The body of `POST /v1/tasks` at a backend server: one or more tasks, each of which takes one slot. */
export const taskStartBatchSchema = z.strictObject({
	/** The lease under which the slots are used. */
	lease: z.string(),
	/** The time that is left until the deadline of the caller. */
	deadlineMs: z.number(),
	tasks: z.array(taskStartSchema).min(1),
});

/**
 * One line of the response (newline-delimited JSON, one line per task, in order of completion).
 * `done`: the task has a result. `error`: it ran and failed. `not-run`: it definitely did not start.
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
