import type {MetricSink} from '@camphortack/core';
import type {PlacedTask} from '../jobs/placed-job.js';

/**
 * Records whether a task that starts now runs far from its data, and how long it had waited for a near place.
 * @param metrics - The metrics.
 * @param task - The task.
 * @param start - The distance and the time of the start.
 */
export function recordDistance(metrics: MetricSink, task: PlacedTask, {isFar, nowMs}: {isFar: boolean; nowMs: number}): void {
	if (isFar) {
		metrics.increment('far-run');
	}

	if (task.nearWaitSinceMs !== undefined) {
		metrics.addTiming('near-wait-time', nowMs - task.nearWaitSinceMs);
		task.nearWaitSinceMs = undefined;
	}
}
