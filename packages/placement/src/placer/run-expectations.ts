import type {TimerService} from '@camphortack/core';
import {getExpectedEndMs} from '../queue/get-expected-end.js';
import type {BackendSession} from '../sessions/backend-session.js';
import {getReportedRunningMs, type Run} from '../sessions/run.js';
import type {RunRecorder} from '../speed/run-recorder.js';
import type {JobTable} from './job-table.js';

/** Finds the time at which a run is expected to end; undefined if nothing is known of its task. */
export type ExpectedEndFinder = (run: Run, session: BackendSession) => number | undefined;

/**
 * Creates the finder of expected ends, from the progress of the runs and the speed and distance of their backend servers.
 * @param timers - The clock.
 * @param jobTable - The open jobs.
 * @param runRecorder - Gets the rate of a run.
 */
export function createRunExpectations(timers: TimerService, jobTable: JobTable, runRecorder: Pick<RunRecorder, 'getRate'>): ExpectedEndFinder {
	return (run, session) => {
		const found = jobTable.findTask(run.taskName);
		if (found === undefined) {
			return undefined;
		}

		const {job, task} = found;
		return getExpectedEndMs({
			startedAtMs: run.startedAtMs,
			expectedMs: task.expectedMs / runRecorder.getRate(job, task, session.getDescription()),
			reportedMs: getReportedRunningMs(run),
			percent: run.percent,
		}, timers.getNowMs());
	};
}
