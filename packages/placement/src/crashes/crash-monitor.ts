import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import type {JobTable} from '../placer/job-table.js';
import type {PooledServer} from '../placer/server-pool.js';
import type {BackendSession} from '../sessions/backend-session.js';
import {getReportedRunningMs, type Run} from '../sessions/run.js';
import type {CrashRecord, CrashState} from './crash-record.js';
import type {CrashRegister, CrashResolution} from './crash-register.js';
import {isNewRun, type CrashedRun} from './find-suspect-run.js';
import {judgeCrash, type JudgedRun} from './judge-crash.js';
import {createSilentServers} from './silent-servers.js';

/** Records which runs ended because their backend servers crashed. */
export type CrashMonitor = {
	/** Handles that a backend server refuses connections. Its runs are recorded after a moment, in which others may fail too. */
	handleCrash(session: BackendSession): void;
	/** Records a run that was lost with a backend server that had ceased to respond. */
	handleLostRun(session: BackendSession, run: Run): void;
	/** Handles that a backend server has ceased to respond, perhaps because it refuses connections. */
	handleSilence(session: BackendSession): void;
	/** Handles that a backend server which did not respond has responded again, or that another incarnation has: it has crashed. */
	handleResolution(session: BackendSession, hasCrashed: boolean): void;
	/** Stops the review of the suspected crashes. */
	stop(): void;
};

export type CrashMonitorOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	jobTable: JobTable;
	crashRegister: CrashRegister;
	/** Finds a backend server that is still reported. */
	findServer: (serverId: string) => PooledServer | undefined;
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
/** A backend server that is not reported for this time after a suspected crash counts as crashed, since it may never come back. */
const assumedCrashMs = 10_000;
/** A placer that still holds a backend server this long after a suspected crash has had responses from it since. */
const minHeldMs = 2000;
const reviewIntervalMs = 1000;

/**
 * Creates the monitor.
 * @param options - The open jobs and where to record.
 */
export function createCrashMonitor(options: CrashMonitorOptions): CrashMonitor {
	const {timers, events, metrics, jobTable, crashRegister, findServer, onCrashRecord, onChange} = options;
	/** When backend servers with runs were first suspected. */
	const suspectedAtMs = new WeakMap<BackendSession, number>();
	const silentServers = createSilentServers<BackendSession>(timers);
	/** The backend servers that refuse connections. What their runs have to do with it is judged once. */
	const refusing = new WeakSet<BackendSession>();
	/** The crashes that may have a common cause with the next ones, oldest first. */
	let recentCrashes: Crash[] = [];
	const review = timers.addInterval(reviewIntervalMs, resolveForeignCrashes);

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

	/** Gets a run that was lost with a silent backend server, with the age at which it was last reported. */
	function getLostRun(run: Run): CrashedRun {
		const crashedRun = getCrashedRun(run);
		return {...crashedRun, ageMs: crashedRun.ageMs === undefined ? undefined : getReportedRunningMs(run)};
	}

	function addRecord({session, atMs, state}: Omit<Crash, 'runs'>, {run, evidence, isSuspect}: JudgedRun): void {
		const {id, bornMs} = session.getDescription();
		const {taskName, runNumber, queueName} = run;
		const record: CrashRecord = {
			taskName, runNumber, queueName, serverId: id, bornMs, isSuspect, evidence, state, isNew: isNewRun(run), ageMs: timers.getNowMs() - atMs,
		};
		if (crashRegister.addRecord(record)) {
			onCrashRecord(record);
		}
	}

	/** Gets the runs of the other backend servers that failed at about the same time. */
	function getOtherFailures({session, atMs}: Crash): CrashedRun[][] {
		return recentCrashes.filter(other => other.session !== session && Math.abs(other.atMs - atMs) <= commonCauseMs).map(({runs}) => runs);
	}

	/** Records what the runs have to do with a crash. A backend server that drains ends in good order. */
	function judge(crash: Crash): void {
		const isUnexpected = crash.state !== 'refuted' && crash.session.getDescription().state === 'ready';
		const judged = isUnexpected
			? judgeCrash(crash.runs, {otherFailures: getOtherFailures(crash), getSuspectCount: queueName => crashRegister.getSuspects(queueName).length})
			: [];
		logCrash(crash, judged.find(({isSuspect}) => isSuspect));
		for (const run of judged) {
			addRecord(crash, run);
		}

		onChange();
	}

	function resolve(resolution: CrashResolution): void {
		for (const record of crashRegister.resolveCrash(resolution)) {
			onCrashRecord(record);
		}
	}

	/** Resolves crashes that other placers have noticed, or whose backend servers are not reported any more. */
	function resolveForeignCrashes(): void {
		for (const {serverId, bornMs, ageMs} of crashRegister.getSuspectedCrashes()) {
			const session = findServer(serverId)?.session;
			const isReplaced = session === undefined ? ageMs >= assumedCrashMs : session.getDescription().bornMs > bornMs;
			const isHeld = session?.getState() === 'held' && session.getDescription().bornMs === bornMs && ageMs >= minHeldMs;
			if (isReplaced || isHeld) {
				resolve({serverId, bornMs, hasCrashed: isReplaced});
				onChange();
			}
		}
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

			const crashedRun = getLostRun(run);
			recordSuspicion(session);
			if (!silentServers.isSilenceCommon(session, crashedRun.jobId)) {
				addRecord({session, atMs: timers.getNowMs(), state: 'suspected'}, {run: crashedRun, evidence: 'weak', isSuspect: false});
			}
		},
		handleSilence(session) {
			if (!refusing.has(session)) {
				silentServers.add(session, new Set([...session.getRuns().values()].map(run => getCrashedRun(run).jobId)));
			}
		},
		handleResolution(session, hasCrashed) {
			const {id, bornMs} = session.getDescription();
			resolve({serverId: id, bornMs, hasCrashed});
			for (const crash of recentCrashes.filter(recent => recent.session === session)) {
				crash.state = hasCrashed ? 'confirmed' : 'refuted';
			}

			refusing.delete(session);
			const sinceMs = suspectedAtMs.get(session);
			if (sinceMs !== undefined) {
				suspectedAtMs.delete(session);
				events.write('backend-server-crash-resolved', {server: id, hasCrashed, afterMs: Math.round(timers.getNowMs() - sinceMs)});
			}
		},
		stop() {
			review.cancel();
		},
	};
}

function describeRun({taskName, queueName, state, ageMs}: CrashedRun): string {
	return `${taskName} ${queueName || 'unknown'} ${ageMs === undefined ? 'unknown' : `${Math.round(ageMs)} ms`} ${state}`;
}
