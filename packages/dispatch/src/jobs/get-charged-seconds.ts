import type {OpenTask} from './open-job.js';

const millisecondsPerSecond = 1000;

/**
 * Gets the worker-seconds to charge for a task. A completed task is charged for its run time and a stopped task for the
 * time until now. A lost task is charged until its deadline, because it cannot be stopped.
 * @param task - The task.
 * @param nowMs - The current time.
 */
export function getChargedSeconds(task: OpenTask, nowMs: number): number {
	const {job, state, runTimeMs} = task;
	if (state === 'done' || state === 'error') {
		return runTimeMs / millisecondsPerSecond;
	}

	const startedAtMs = task.startedAtMs ?? job.arrivedAtMs;
	const endAtMs = state === 'lost' ? Math.max(job.deadlineAtMs, nowMs) : nowMs;
	return (runTimeMs + endAtMs - startedAtMs) / millisecondsPerSecond;
}
