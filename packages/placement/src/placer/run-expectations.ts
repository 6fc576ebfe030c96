import type {TimerService} from '@camphortack/core';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import {getDistanceFactor} from '../queue/get-distance-factor.js';
import {getExpectedEndMs} from '../queue/get-expected-end.js';
import type {BackendSession} from '../sessions/backend-session.js';
import {getReportedRunningMs, type Run} from '../sessions/run.js';
import type {JobTable} from './job-table.js';

/** What is expected of the runs of the open jobs. */
export type RunExpectations = {
	/** Gets the factor by which a task takes longer on a backend server than near its data. */
	getRunFactor(job: PlacedJob, task: PlacedTask, session: BackendSession): number;
	/** Gets the time at which a run is expected to end; undefined if nothing is known of its task. */
	findExpectedEndMs(run: Run, session: BackendSession): number | undefined;
};

/**
 * Creates the expectations.
 * @param timers - The clock.
 * @param jobTable - The open jobs.
 * @param remoteRunFactor - The factor by which tasks run longer far from their data; undefined if it is not known.
 */
export function createRunExpectations(timers: TimerService, jobTable: JobTable, remoteRunFactor: number | undefined): RunExpectations {
	function getRunFactor(job: PlacedJob, task: PlacedTask, session: BackendSession): number {
		return getDistanceFactor(job.request.steps[task.step]!.dataRack, session.getDescription().labels, remoteRunFactor);
	}

	return {
		getRunFactor,
		findExpectedEndMs(run, session) {
			const found = jobTable.findTask(run.taskName);
			if (found === undefined) {
				return undefined;
			}

			return getExpectedEndMs({
				startedAtMs: run.startedAtMs,
				expectedMs: found.task.expectedMs * getRunFactor(found.job, found.task, session),
				reportedMs: getReportedRunningMs(run),
				percent: run.percent,
			}, timers.getNowMs());
		},
	};
}
