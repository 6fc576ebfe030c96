import type {JobRequest, JobStep} from './job-request.js';

/** What a job amounts to. */
export type JobOutline = {
	/** The run time to expect of its longest chain of steps. */
	longestMs: number;
	/** All its work, in core-milliseconds. */
	work: number;
};

const millicoresPerCore = 1000;

/**
 * Gets the longest chain and the work of a job.
 * @param request - The job; its steps depend on earlier ones only.
 * @param getExpectedMs - The run time to expect of a task of a step.
 */
export function getJobOutline(request: JobRequest, getExpectedMs: (step: JobStep) => number): JobOutline {
	const chainsMs: number[] = [];
	let work = 0;
	for (const step of request.steps) {
		const expectedMs = getExpectedMs(step);
		const beforeMs = Math.max(0, ...step.dependsOn.map(position => chainsMs[position] ?? 0));
		chainsMs.push(beforeMs + expectedMs);
		work += step.taskCount * expectedMs * step.cpuMillicores / millicoresPerCore;
	}

	return {longestMs: Math.max(...chainsMs), work};
}
