import {z} from 'zod';
import {jsonValueSchema} from './json-value-schema.js';

/** The maximum number of tasks in a job. */
export const maxTasksPerJob = 150;
/** The maximum deadline that a caller may request. */
export const maxDeadlineMs = 600_000;
/** The deadline of a submission that specifies none. */
export const defaultDeadlineMs = 30_000;

/** An identifier or name: letters, digits, dot, underscore, hyphen and colon, at most 128 characters. */
export const nameSchema = z.string().regex(/^[\w.:\-]{1,128}$/v, 'must be 1 to 128 letters, digits, ".", "_", ":" or "-"');

/** The resources that a task requires of its backend server. */
export const taskNeedsSchema = z.strictObject({
	processors: z.number().positive().max(4096).optional(),
	memoryMegabytes: z.number().positive().max(100_000_000).optional(),
	accelerators: z.int().min(0).max(1024).optional(),
});

/** One task of a job. */
export const taskSchema = z.strictObject({
	payload: jsonValueSchema,
	declaredRunTimeMs: z.number().positive().max(maxDeadlineMs).optional(),
	needs: taskNeedsSchema.optional(),
});

const submissionShape = {
	/** A ticket or an id chosen by the caller. If it is absent, the daemon issues a ticket. */
	id: nameSchema.optional(),
	customer: nameSchema,
	service: nameSchema,
	/** How long the caller waits, measured from the arrival of the request. */
	deadlineMs: z.number().positive().max(maxDeadlineMs).default(defaultDeadlineMs),
	/** Only idempotent tasks may be hedged, or retried after they may have started. */
	idempotent: z.boolean().default(false),
};

/** The body of `POST /v1/jobs`. */
export const jobSubmissionSchema = z.strictObject({
	...submissionShape,
	tasks: z.array(taskSchema).min(1).max(maxTasksPerJob),
});

/** The body of `POST /v1/requests`. */
export const requestSubmissionSchema = z.strictObject({
	...submissionShape,
	...taskSchema.shape,
});

export type TaskNeeds = z.infer<typeof taskNeedsSchema>;
export type Task = z.infer<typeof taskSchema>;
export type JobSubmission = z.infer<typeof jobSubmissionSchema>;
export type RequestSubmission = z.infer<typeof requestSubmissionSchema>;

/** A submission whose id is set, as passed to the dispatcher. */
export type Job = JobSubmission & {id: string};
