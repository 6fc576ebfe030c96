import type {EventLog, MetricSink} from '@camphortack/core';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import type {JobOutcome} from '../messages/job-outcome.js';
import type {JobTable} from '../placer/job-table.js';
import type {CrashRecord} from './crash-record.js';
import type {CrashRegister} from './crash-register.js';

/** Ends the jobs of tasks that crash the backend servers that start them, or of which that cannot be determined. */
export type GivenUpJobs = {
	endJobs(): void;
};

export type GivenUpJobsOptions = {
	events: EventLog;
	metrics: MetricSink;
	jobTable: JobTable;
	crashRegister: CrashRegister;
	onGivenUp: (job: PlacedJob, result: JobOutcome) => void;
};

/**
 * Creates the component. A job that is submitted again after its end is ended again, before any of its tasks starts.
 * @param options - The open jobs and the known crashes.
 */
export function createGivenUpJobs({events, metrics, jobTable, crashRegister, onGivenUp}: GivenUpJobsOptions): GivenUpJobs {
	function endJob(taskName: string, result: JobOutcome): void {
		const found = jobTable.findTask(taskName);
		if (found === undefined || isAtWork(found.task)) {
			return;
		}

		metrics.increment('task-given-up');
		events.write('task-given-up', {
			task: taskName,
			queue: found.job.request.queueName,
			outcome: result.outcome,
			runs: found.task.runNumber,
			crashes: crashRegister.getRecordsOfTask(taskName).map(record => describeCrash(record)).join(', '),
		});
		onGivenUp(found.job, result);
	}

	return {
		endJobs() {
			for (const taskName of crashRegister.getGivenUpTasks()) {
				endJob(taskName, {outcome: 'failed', reason: 'attempts-used'});
			}

			for (const taskName of crashRegister.getUndecidedTasks()) {
				endJob(taskName, {outcome: 'unknown'});
			}
		},
	};
}

/** Whether a run of a task is in progress on a backend server that responds, so that the task may still be done. */
function isAtWork({name, session}: PlacedTask): boolean {
	return session?.getState() === 'held' && session.findRun(name)?.state === 'running';
}

function describeCrash({serverId, ageMs, evidence, state, isNew}: CrashRecord): string {
	return `${serverId} ${Math.round(ageMs)} ms ago ${evidence} ${state} ${isNew ? 'new' : 'old'}`;
}
