import {z} from 'zod';
import {refusalCodeNames} from '../refusals/refusal-codes.js';
import {jsonValueSchema} from './json-value-schema.js';

/** The reasons for which a job fails. `limit`: a task exceeded the declared worker-seconds and was stopped. Each reason has a counter `job-failed-<reason>`. */
export const failureReasons = ['task-error', 'task-lost', 'deadline', 'cancelled', 'daemon-lost', 'never-fits', 'limit'] as const;

/**
 * The known state of one task of a failed job. `done`: it ran to completion (with `error` if it failed).
 * `not-run`: it definitely did not start. `may-have-run`: it was sent, and its result is unknown.
 */
export const taskOutcomeSchema = z.strictObject({
	index: z.int().min(0),
	state: z.enum(['done', 'not-run', 'may-have-run']),
	error: z.string().optional(),
});

export const completeOutcomeSchema = z.strictObject({
	outcome: z.literal('complete'),
	id: z.string(),
	/** The result of each task, in submission order. */
	results: z.array(jsonValueSchema),
});

export const failedOutcomeSchema = z.strictObject({
	outcome: z.literal('failed'),
	id: z.string(),
	reason: z.enum(failureReasons),
	tasks: z.array(taskOutcomeSchema),
});

export const refusedOutcomeSchema = z.strictObject({
	outcome: z.literal('refused'),
	id: z.string().optional(),
	code: z.enum(refusalCodeNames),
	notRun: z.enum(['job', 'this-copy']),
	message: z.string(),
	retryAfterMs: z.number().optional(),
	findings: z.array(jsonValueSchema).optional(),
});

/** The response to a submission. */
export const jobOutcomeSchema = z.discriminatedUnion('outcome', [completeOutcomeSchema, failedOutcomeSchema, refusedOutcomeSchema]);

export type FailureReason = typeof failureReasons[number];
export type TaskOutcome = z.infer<typeof taskOutcomeSchema>;
export type CompleteOutcome = z.infer<typeof completeOutcomeSchema>;
export type FailedOutcome = z.infer<typeof failedOutcomeSchema>;
export type RefusedOutcome = z.infer<typeof refusedOutcomeSchema>;
export type JobOutcome = z.infer<typeof jobOutcomeSchema>;
