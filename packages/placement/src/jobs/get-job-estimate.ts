import type {JobRequest, JobStep} from './job-request.js';

/** The estimated size of a job. */
export type JobEstimate = {
	/** The expected run time of the longest chain of dependent steps. */
	criticalPathMs: number;
	/** The work of all tasks, in core-milliseconds. */
	work: number;
};

const millicoresPerCore = 1000;

/**
 * Gets the critical path and the total work of a job.
 * @param request - The job. Each step depends on earlier steps only.
 * @param getExpectedMs - Gets the expected run time of a task of a step.
 */
export function getJobEstimate(request: JobRequest, getExpectedMs: (step: JobStep) => number): JobEstimate {
	const pathEndsMs: number[] = [];
	let work = 0;
	for (const step of request.steps) {
		const expectedMs = getExpectedMs(step);
		const startMs = Math.max(0, ...step.dependsOn.map(position => pathEndsMs[position] ?? 0));
		pathEndsMs.push(startMs + expectedMs);
		work += step.taskCount * expectedMs * step.cpuMillicores / millicoresPerCore;
	}

	return {criticalPathMs: Math.max(...pathEndsMs), work};
}
