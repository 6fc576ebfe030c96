import type {EventLog, TimerService} from '@camphortack/core';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import type {JobLedger} from './job-ledger.js';
import type {ServerPool} from './server-pool.js';

/** Gives jobs that an earlier placer began their runs back. */
export type JobRecovery = {
	/** Recovers the jobs for which every backend server was asked, or whose time for it is over. */
	recoverJobs(): void;
};

export type JobRecoveryOptions = {
	timers: TimerService;
	events: EventLog;
	ledger: JobLedger;
	pool: ServerPool;
	/** Called with a job of which nobody can tell what runs. */
	onUnknown: (job: PlacedJob) => void;
};

/** How long runs of an earlier placer are looked for on backend servers that do not answer yet. */
export const recoveryMs = 400;

/**
 * Creates the part.
 * @param options - The jobs and the backend servers.
 */
export function createJobRecovery({timers, events, ledger, pool, onUnknown}: JobRecoveryOptions): JobRecovery {
	function recoverJobs(): void {
		const nowMs = timers.getNowMs();
		for (const job of ledger.getJobs()) {
			if (job.recoverUntilMs !== undefined && (pool.isFullyKnown() || nowMs >= job.recoverUntilMs)) {
				recoverJob(job);
			}
		}
	}

	function recoverJob(job: PlacedJob): void {
		let missingCount = 0;
		for (const task of job.tasks) {
			missingCount += adoptRun(task) ? 0 : 1;
		}

		job.recoverUntilMs = undefined;
		const isKnown = missingCount === 0 || pool.isFullyKnown();
		events.write('job-recovered', {
			job: job.request.jobId, tasks: job.tasks.length, missing: missingCount, known: isKnown,
		});
		if (!isKnown) {
			onUnknown(job);
		}
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
