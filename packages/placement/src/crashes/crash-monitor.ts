import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import type {JobTable} from '../placer/job-table.js';
import type {BackendSession} from '../sessions/backend-session.js';
import type {Run} from '../sessions/run.js';
import type {CrashRecord} from './crash-record.js';
import type {CrashRegister} from './crash-register.js';
import {findSuspectRun, type CrashedRun} from './find-suspect-run.js';

/** Records which runs ended because their backend servers crashed. */
export type CrashMonitor = {
	/** Records the runs of a backend server that refuses connections. */
	handleCrash(session: BackendSession): void;
	/** Records a run that was lost with a backend server that had ceased to respond. */
	handleLostRun(session: BackendSession, run: Run): void;
	/** Handles that a backend server which did not respond has responded again, or that another incarnation has: it has crashed. */
	handleResolution(session: BackendSession, hasCrashed: boolean): void;
};

export type CrashMonitorOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	jobTable: JobTable;
	crashRegister: CrashRegister;
	/** Called with each new record, for the other daemons. */
	onCrashRecord: (record: CrashRecord) => void;
};

const unknownQueueName = '';

/**
 * Creates the monitor.
 * @param options - The open jobs and where to record.
 */
export function createCrashMonitor({timers, events, metrics, jobTable, crashRegister, onCrashRecord}: CrashMonitorOptions): CrashMonitor {
	/** When backend servers with runs were first suspected. */
	const suspectedAtMs = new WeakMap<BackendSession, number>();

	function recordSuspicion(session: BackendSession): void {
		suspectedAtMs.set(session, suspectedAtMs.get(session) ?? timers.getNowMs());
	}

	function getCrashedRun({taskName, startedAtMs, state}: Run): CrashedRun {
		const found = jobTable.findTask(taskName);
		return {
			taskName,
			queueName: found?.job.request.queueName ?? unknownQueueName,
			state,
			ageMs: found === undefined || found.task.isAdopted ? undefined : timers.getNowMs() - startedAtMs,
		};
	}

	function addRecord(session: BackendSession, {taskName, queueName}: CrashedRun, isSuspect: boolean): void {
		const {id, bornMs} = session.getDescription();
		const record: CrashRecord = {
			taskName, queueName, serverId: id, bornMs, isSuspect, ageMs: 0,
		};
		if (crashRegister.addRecord(record)) {
			onCrashRecord(record);
		}
	}

	return {
		handleCrash(session) {
			const runs = [...session.getRuns().values()].map(run => getCrashedRun(run)).toSorted((left, right) => (left.ageMs ?? Infinity) - (right.ageMs ?? Infinity));
			const suspect = findSuspectRun(runs, queueName => crashRegister.getSuspects(queueName).length);
			recordSuspicion(session);
			for (const run of runs) {
				addRecord(session, run, run === suspect);
			}

			metrics.increment('backend-server-crashed');
			events.write('backend-server-crashed', {
				server: session.getDescription().id, runCount: runs.length, suspect: suspect?.taskName, runs: runs.map(run => describeRun(run)).join(', '),
			});
		},
		handleLostRun(session, run) {
			// A backend server that drains ends in good order.
			if (session.getDescription().state === 'ready') {
				recordSuspicion(session);
				addRecord(session, getCrashedRun(run), false);
			}
		},
		handleResolution(session, hasCrashed) {
			const sinceMs = suspectedAtMs.get(session);
			if (sinceMs !== undefined) {
				suspectedAtMs.delete(session);
				events.write('backend-server-crash-resolved', {
					server: session.getDescription().id, hasCrashed, afterMs: Math.round(timers.getNowMs() - sinceMs),
				});
			}
		},
	};
}

function describeRun({taskName, queueName, state, ageMs}: CrashedRun): string {
	return `${taskName} ${queueName || 'unknown'} ${ageMs === undefined ? 'unknown' : `${Math.round(ageMs)} ms`} ${state}`;
}
