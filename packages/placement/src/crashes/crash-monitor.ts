import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import type {JobTable} from '../placer/job-table.js';
import type {BackendSession} from '../sessions/backend-session.js';
import type {Run} from '../sessions/run.js';
import type {CrashRecord, CrashState} from './crash-record.js';
import type {CrashRegister} from './crash-register.js';
import {isNewRun, type CrashedRun} from './find-suspect-run.js';
import {assumedCrashMs} from './get-task-verdict.js';
import {judgeCrash, type JudgedRun} from './judge-crash.js';

/** Records which runs ended because their backend servers crashed. */
export type CrashMonitor = {
	/** Handles that a backend server refuses connections. Its runs are recorded after a moment, in which others may fail too. */
	handleCrash(session: BackendSession): void;
	/** Records a run that was lost with a backend server that had ceased to respond. */
	handleLostRun(session: BackendSession, run: Run): void;
	/** Handles that a backend server has ceased to respond. */
	handleSilence(session: BackendSession): void;
	/** Handles that a backend server which did not respond has responded again, or that another incarnation has: it has crashed. */
	handleResolution(session: BackendSession, hasCrashed: boolean): void;
};

export type CrashMonitorOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	jobTable: JobTable;
	crashRegister: CrashRegister;
	getSessions: () => Iterable<BackendSession>;
	/** Called with each new or changed record, for the other daemons. */
	onCrashRecord: (record: CrashRecord) => void;
	/** Called when tasks may have to be given up, or may start again. */
	onChange: () => void;
};

/** A backend server that refuses connections. */
type Crash = {
	session: BackendSession;
	runs: CrashedRun[];
	atMs: number;
	state: CrashState;
};

const unknownQueueName = '';
/** Crashes within this time of each other may have one common cause, such as a rack without power. */
const commonCauseMs = 20;
/** Backend servers that fall silent within this time of each other may have been cut off together. */
const commonSilenceMs = 1000;

/**
 * Creates the monitor.
 * @param options - The open jobs and where to record.
 */
export function createCrashMonitor(options: CrashMonitorOptions): CrashMonitor {
	const {timers, events, metrics, jobTable, crashRegister, getSessions, onCrashRecord, onChange} = options;
	/** When backend servers with runs were first suspected. */
	const suspectedAtMs = new WeakMap<BackendSession, number>();
	/** When backend servers fell silent. */
	const silentAtMs = new WeakMap<BackendSession, number>();
	/** The backend servers that refuse connections. What their runs have to do with it is judged once. */
	const refusing = new WeakSet<BackendSession>();
	/** The crashes that may have a common cause with the next ones, oldest first. */
	let recentCrashes: Crash[] = [];

	function recordSuspicion(session: BackendSession): void {
		suspectedAtMs.set(session, suspectedAtMs.get(session) ?? timers.getNowMs());
	}

	function getCrashedRun({taskName, runNumber, startedAtMs, state}: Run): CrashedRun {
		const found = jobTable.findTask(taskName);
		return {
			taskName,
			runNumber,
			jobId: found?.job.request.jobId ?? taskName,
			queueName: found?.job.request.queueName ?? unknownQueueName,
			state,
			ageMs: found === undefined || found.task.isAdopted ? undefined : timers.getNowMs() - startedAtMs,
		};
	}

	function addRecord({session, atMs, state}: Omit<Crash, 'runs'>, {run, evidence, isSuspect}: JudgedRun): void {
		const {id, bornMs} = session.getDescription();
		const {taskName, runNumber, queueName} = run;
		const record: CrashRecord = {
			taskName, runNumber, queueName, serverId: id, bornMs, isSuspect, evidence, state, ageMs: timers.getNowMs() - atMs,
		};
		if (crashRegister.addRecord(record)) {
			onCrashRecord(record);
			timers.addTimer(assumedCrashMs, onChange);
		}
	}

	/** Whether another backend server failed at about the same time, of which no run can be the cause. */
	function hasCommonCause({session, atMs}: Crash): boolean {
		return recentCrashes.some(other => other.session !== session && Math.abs(other.atMs - atMs) <= commonCauseMs && !other.runs.some(run => isNewRun(run)));
	}

	/** Records what the runs have to do with a crash. A backend server that drains ends in good order. */
	function judge(crash: Crash): void {
		const isUnexpected = crash.state !== 'refuted' && crash.session.getDescription().state === 'ready';
		const judged = isUnexpected
			? judgeCrash(crash.runs, {hasCommonCause: hasCommonCause(crash), getSuspectCount: queueName => crashRegister.getSuspects(queueName).length})
			: [];
		logCrash(crash, judged.find(({isSuspect}) => isSuspect));
		for (const run of judged) {
			addRecord(crash, run);
		}

		onChange();
	}

	/** Whether another backend server has ceased to respond at about the same time, as in a partition or a loss of power. */
	function isSilenceCommon(session: BackendSession): boolean {
		const atMs = silentAtMs.get(session) ?? timers.getNowMs();
		return [...getSessions()].some(other => other !== session && !refusing.has(other) && Math.abs((silentAtMs.get(other) ?? Infinity) - atMs) <= commonSilenceMs);
	}

	function logCrash({session, runs}: Crash, suspect: JudgedRun | undefined): void {
		metrics.increment('backend-server-crashed');
		events.write('backend-server-crashed', {
			server: session.getDescription().id, runCount: runs.length, suspect: suspect?.run.taskName, runs: runs.map(run => describeRun(run)).join(', '),
		});
	}

	return {
		handleCrash(session) {
			const runs = [...session.getRuns().values()].map(run => getCrashedRun(run)).toSorted((left, right) => (left.ageMs ?? Infinity) - (right.ageMs ?? Infinity));
			const crash: Crash = {
				session, runs, atMs: timers.getNowMs(), state: 'suspected',
			};
			recentCrashes = [...recentCrashes.filter(({atMs}) => crash.atMs - atMs <= 2 * commonCauseMs), crash];
			refusing.add(session);
			recordSuspicion(session);
			timers.addTimer(commonCauseMs, () => {
				judge(crash);
			});
		},
		handleLostRun(session, run) {
			if (session.getDescription().state !== 'ready' || refusing.has(session)) {
				return;
			}

			recordSuspicion(session);
			if (!isSilenceCommon(session)) {
				addRecord({session, atMs: timers.getNowMs(), state: 'suspected'}, {run: getCrashedRun(run), evidence: 'weak', isSuspect: false});
			}
		},
		handleSilence(session) {
			silentAtMs.set(session, timers.getNowMs());
		},
		handleResolution(session, hasCrashed) {
			const {id, bornMs} = session.getDescription();
			for (const record of crashRegister.resolveCrash({serverId: id, bornMs, hasCrashed})) {
				onCrashRecord(record);
			}

			for (const crash of recentCrashes.filter(recent => recent.session === session)) {
				crash.state = hasCrashed ? 'confirmed' : 'refuted';
			}

			refusing.delete(session);
			silentAtMs.delete(session);
			const sinceMs = suspectedAtMs.get(session);
			if (sinceMs !== undefined) {
				suspectedAtMs.delete(session);
				events.write('backend-server-crash-resolved', {server: id, hasCrashed, afterMs: Math.round(timers.getNowMs() - sinceMs)});
			}
		},
	};
}

function describeRun({taskName, queueName, state, ageMs}: CrashedRun): string {
	return `${taskName} ${queueName || 'unknown'} ${ageMs === undefined ? 'unknown' : `${Math.round(ageMs)} ms`} ${state}`;
}
