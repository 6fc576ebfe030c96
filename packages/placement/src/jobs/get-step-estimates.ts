import type {JobRequest, JobStep} from './job-request.js';

/** The expected run times of a step and of what depends on it. */
export type StepEstimate = {
	/** The expected run time of a task of the step, on a nominal backend server near its data. */
	expectedMs: number;
	/** The expected run time of the longest chain of steps after it. */
	followingMs: number;
};

/**
 * Gets the estimate of each step of a job.
 * @param request - The job. Each step depends on earlier steps only.
 * @param getExpectedMs - Gets the expected run time of a task of a step.
 */
export function getStepEstimates(request: JobRequest, getExpectedMs: (step: JobStep) => number): StepEstimate[] {
	const estimates = request.steps.map((step): StepEstimate => ({expectedMs: getExpectedMs(step), followingMs: 0}));
	for (const [position, {dependsOn}] of [...request.steps.entries()].toReversed()) {
		const {expectedMs, followingMs} = estimates[position]!;
		for (const earlier of dependsOn) {
			const estimate = estimates[earlier];
			if (estimate !== undefined) {
				estimate.followingMs = Math.max(estimate.followingMs, expectedMs + followingMs);
			}
		}
	}

	return estimates;
}
