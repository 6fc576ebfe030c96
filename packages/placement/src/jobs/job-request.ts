import {z} from 'zod';

/** A step of a job: tasks of one shape that may run side by side. */
export const jobStepSchema = z.object({
	taskCount: z.int().min(1),
	/** What one task needs, in thousandths of a core. */
	cpuMillicores: z.int().min(0),
	memoryMb: z.number().min(0),
	gpuCount: z.number().min(0),
	/** The caller's rough estimate of a task's run time. */
	estimateMs: z.number().min(0),
	/** Positions of earlier steps that must have ended first. */
	dependsOn: z.array(z.int().min(0)),
	/** A label that the backend server must have. */
	requiredLabel: z.string().optional(),
	/** The rack that holds the data; elsewhere a task takes longer. */
	dataRack: z.string().optional(),
	/** The most tasks of the step on one backend server at a time. */
	mostPerServer: z.int().min(1).optional(),
});

/** A job as an entry daemon hands it to the placer. */
export const jobRequestSchema = z.object({
	jobId: z.string(),
	queueName: z.string(),
	service: z.string(),
	payload: z.string(),
	steps: z.array(jobStepSchema).min(1),
	/** How often a task may fail before the job has failed. */
	mostAttempts: z.int().min(1),
	/** The latency objective is `stretch` times the longest chain of tasks and `slackMs` more. */
	stretch: z.number().min(0),
	slackMs: z.number().min(0),
	/** Time since the entry daemon read the request. */
	ageMs: z.number().min(0),
	/** How long the caller waits, counted from the arrival. */
	callerTimeoutMs: z.number().min(0),
});

export type JobStep = z.infer<typeof jobStepSchema>;
export type JobRequest = z.infer<typeof jobRequestSchema>;
