import type {JobRequest} from './job-request.js';

/** The maximum number of tasks of a job. The jobs of callers have up to 150. */
export const maxTasksPerJob = 2000;

/** What a task takes while its start request is unanswered, without the payload that the request carries. */
const taskBytes = 8192;
const stepBytes = 512;
const dependencyBytes = 8;
const jobBytes = 2048;

/** The parts of a job that decide what it takes. */
export type JobExtent = Pick<JobRequest, 'payload' | 'steps'>;

/**
 * Gets the number of tasks of a job.
 * @param job - The job.
 */
export function getTaskCount({steps}: Pick<JobRequest, 'steps'>): number {
	return steps.reduce((sum, {taskCount}) => sum + taskCount, 0);
}

/**
 * Gets roughly what a job takes at an entry daemon, which does not create its tasks.
 * @param job - The job.
 *
 * @example
 * ```ts
 * getRequestMemoryBytes({payload: 'text', steps: [{...step, dependsOn: []}]}); // 2568
 * ```
 */
export function getRequestMemoryBytes({payload, steps}: JobExtent): number {
	return steps.reduce((sum, {dependsOn}) => sum + stepBytes + (dependsOn.length * dependencyBytes), jobBytes + (payload.length * 2));
}

/**
 * Gets roughly what a job takes at its placer.
 * @param job - The job.
 *
 * @example
 * ```ts
 * getJobMemoryBytes({payload: 'text', steps: [{...step, taskCount: 8, dependsOn: []}]}); // 68_136
 * ```
 */
export function getJobMemoryBytes(job: JobExtent): number {
	return getRequestMemoryBytes(job) + (getTaskCount(job) * (taskBytes + job.payload.length));
}
