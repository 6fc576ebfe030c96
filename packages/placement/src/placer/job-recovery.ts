import type {EventLog, TimerService} from '@camphortack/core';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import type {ServerSources} from '../ports/server-sources.js';
import type {JobTable} from './job-table.js';
import type {ServerPool} from './server-pool.js';

/** Reattaches the jobs that an earlier placer started to their runs. */
export type JobRecovery = {
	/** Adopts the runs that are found, and ends the search for those whose runs are all known or whose deadline has passed. */
	recoverJobs(): void;
};

export type JobRecoveryOptions = {
	timers: TimerService;
	events: EventLog;
	jobTable: JobTable;
	pool: ServerPool;
	serverSources: ServerSources;
	/** Called with each job for which it cannot be determined which tasks run. */
	onUnknown: (job: PlacedJob) => void;
};

/** How long to wait for backend servers that have not responded yet, on which runs of an earlier placer may exist. */
export const recoveryMs = 400;

/**
 * Creates the recovery.
 * @param options - The jobs and the backend servers.
 */
export function createJobRecovery({timers, events, jobTable, pool, serverSources, onUnknown}: JobRecoveryOptions): JobRecovery {
	function recoverJobs(): void {
		for (const job of jobTable.getJobs()) {
			if (job.recoveryDeadlineMs !== undefined) {
				recoverJob(job, job.recoveryDeadlineMs);
			}
		}
	}

	function recoverJob(job: PlacedJob, deadlineMs: number): void {
		const missingCount = job.tasks.filter(task => task.state === 'waiting' && !adoptRun(task)).length;
		const isKnown = missingCount === 0 || areRunsKnown(job);
		if (isKnown || timers.getNowMs() >= deadlineMs) {
			endRecovery(job, missingCount, isKnown);
		} else if (job.handover !== undefined) {
			serverSources.requestMissing(job.handover);
		}
	}

	function endRecovery(job: PlacedJob, missingCount: number, isKnown: boolean): void {
		job.recoveryDeadlineMs = undefined;
		events.write('job-recovered', {
			job: job.request.jobId,
			tasks: job.tasks.length,
			missing: missingCount,
			known: isKnown,
			...pool.getKnowledge(),
			isCovered: isCovered(job),
			earlierPlacers: job.handover?.placers.map(({placerId}) => placerId).join(' '),
		});
		if (!isKnown) {
			onUnknown(job);
		}
	}

	/** Whether a task of the job of which no run is found certainly does not run. */
	function areRunsKnown(job: PlacedJob): boolean {
		return pool.isFullyKnown() && isCovered(job);
	}

	function isCovered({handover}: PlacedJob): boolean {
		return handover !== undefined && serverSources.isCoveredBy(handover);
	}

	function adoptRun(task: PlacedTask): boolean {
		const found = pool.findRun(task.name);
		if (found === undefined) {
			return false;
		}

		found.run.needs = task.needs;
		task.state = 'running';
		task.session = found.server.session;
		task.runNumber = found.run.runNumber;
		task.startedAtMs = found.run.startedAtMs;
		task.isAdopted = true;
		return true;
	}

	return {recoverJobs};
}
