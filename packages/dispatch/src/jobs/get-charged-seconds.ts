import type {OpenTask} from './open-job.js';

const millisecondsPerSecond = 1000;

/**
 * Gets the worker-seconds to charge for a task. One whose end is known is charged what it ran; one that was told to stop,
 * up to now; one that was lost, up to its deadline, since nobody can stop it.
 * @param task - The task.
 * @param nowMs - The time now.
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
