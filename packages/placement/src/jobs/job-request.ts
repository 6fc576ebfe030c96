import {z} from 'zod';

/** A step of a job: tasks with the same requirements that may run in parallel. */
export const jobStepSchema = z.object({
	taskCount: z.int().min(1),
	/** CPU that one task needs, in millicores. */
	cpuMillicores: z.int().min(0),
	memoryMb: z.number().min(0),
	gpuCount: z.number().min(0),
	/** The caller's rough estimate of a task's run time. */
	estimateMs: z.number().min(0),
	/** Positions of the earlier steps that must be complete before this one starts. */
	dependsOn: z.array(z.int().min(0)),
	/** Label required of the backend server. */
	requiredLabel: z.string().optional(),
	/** Rack that holds the input data. A task takes longer on other racks. */
	dataRack: z.string().optional(),
	/** Maximum number of tasks of the step that run on one backend server at a time. */
	mostPerServer: z.int().min(1).optional(),
});

/** A job as an entry daemon submits it to the placer. */
export const jobRequestSchema = z.object({
	jobId: z.string(),
	queueName: z.string(),
	service: z.string(),
	payload: z.string(),
	steps: z.array(jobStepSchema).min(1),
	/** Number of failures of a task at which the job fails. */
	mostAttempts: z.int().min(1),
	/** The latency objective is `stretch` times the critical path plus `slackMs`. */
	stretch: z.number().min(0),
	slackMs: z.number().min(0),
	/** Time since the entry daemon received the request. */
	ageMs: z.number().min(0),
	/** Timeout of the caller, counted from the arrival. */
	callerTimeoutMs: z.number().min(0),
	/** The priority of the queue; 0 is the highest. Daemons of earlier versions do not send it. */
	priority: z.number().optional(),
});

export type JobStep = z.infer<typeof jobStepSchema>;
export type JobRequest = z.infer<typeof jobRequestSchema>;
