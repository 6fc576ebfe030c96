import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import type {JobTable} from '../placer/job-table.js';
import type {BackendSession} from '../sessions/backend-session.js';
import type {Run} from '../sessions/run.js';

/** Records which runs backend servers had when they crashed. */
export type CrashLog = {
	recordCrash(session: BackendSession): void;
};

export type CrashLogOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	jobTable: JobTable;
};

/**
 * Creates the log.
 * @param options - The open jobs and where to record.
 */
export function createCrashLog({timers, events, metrics, jobTable}: CrashLogOptions): CrashLog {
	function describeRun({taskName, startedAtMs}: Run): string {
		const found = jobTable.findTask(taskName);
		// The placer does not know when an adopted run started.
		const age = found === undefined || found.task.isAdopted ? 'unknown' : `${Math.round(timers.getNowMs() - startedAtMs)} ms`;
		return `${taskName} ${found?.job.request.queueName ?? 'unknown'} ${age}`;
	}

	return {
		recordCrash(session) {
			const runs = [...session.getRuns().values()].toSorted((left, right) => right.startedAtMs - left.startedAtMs);
			metrics.increment('backend-server-crashed');
			events.write('backend-server-crashed', {
				server: session.getDescription().id, runCount: runs.length, runs: runs.map(run => describeRun(run)).join(', '),
			});
		},
	};
}
