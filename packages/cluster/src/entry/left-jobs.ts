import {addToList, type TimerService} from '@camphortack/core';
import {leftJobRetentionMs} from '../cluster-timings.js';

/** The jobs that an entry daemon has submitted and no longer waits for, though their tasks may still run. */
export type LeftJobs = {
	add(jobId: string, shard: string): void;
	/** Gets the ids of the jobs that were left recently, by the shard that they were submitted to. */
	getByShard(): Map<string, string[]>;
};

/**
 * Creates an empty list.
 * @param timers - The clock.
 *
 * @example
 * ```ts
 * const leftJobs = createLeftJobs(timers);
 * leftJobs.add('job', 'zone-a');
 * leftJobs.getByShard(); // Map {'zone-a' => ['job']}
 * ```
 */
export function createLeftJobs(timers: TimerService): LeftJobs {
	const leftJobs = new Map<string, {shard: string; atMs: number}>();

	return {
		add(jobId, shard) {
			leftJobs.delete(jobId);
			leftJobs.set(jobId, {shard, atMs: timers.getNowMs()});
		},
		getByShard() {
			const oldestMs = timers.getNowMs() - leftJobRetentionMs;
			const byShard = new Map<string, string[]>();
			for (const [jobId, {shard, atMs}] of leftJobs) {
				if (atMs < oldestMs) {
					leftJobs.delete(jobId);
				} else {
					addToList(byShard, shard, jobId);
				}
			}

			return byShard;
		},
	};
}
