import {
	addToList, type EventLog, type MetricSink, type RandomSource, type TimerService,
} from '@camphortack/core';
import {isUnstarted, type PlacedJob} from '../jobs/placed-job.js';
import {createCrashMonitor} from '../crashes/crash-monitor.js';
import type {CrashRecord} from '../crashes/crash-record.js';
import type {CrashRegister} from '../crashes/crash-register.js';
import {createQueueQuarantine} from '../crashes/queue-quarantine.js';
import {createGivenUpJobs} from '../crashes/given-up-jobs.js';
import {createTrialRuns} from '../crashes/trial-runs.js';
import {createStartWindow} from '../lag/create-start-window.js';
import {getJobId} from '../jobs/task-name.js';
import type {JobOutcome, RefusalReason} from '../messages/job-outcome.js';
import type {BackendServerDescription} from '../servers/backend-server-description.js';
import type {BackendServerClient} from '../ports/backend-server-client.js';
import type {EarlierJobs} from '../ports/earlier-jobs.js';
import type {EarlierServers} from '../ports/earlier-servers.js';
import type {ServerRecorder} from '../ports/server-recorder.js';
import type {BackendSession} from '../sessions/backend-session.js';
import type {Run, RunEnd} from '../sessions/run.js';
import {createSizeShares} from '../queue/create-size-shares.js';
import {createPassScheduler} from './create-pass-scheduler.js';
import {createJobLog} from './job-log.js';
import {createJobTable} from './job-table.js';
import {createEvacuatedJobs} from './evacuated-jobs.js';
import {createJobIntake} from './job-intake.js';
import {createJobRecovery} from './job-recovery.js';
import {createMovedRuns} from './moved-runs.js';
import {createNewJobHold} from './new-job-hold.js';
import {createLeavingEntries} from './leaving-entries.js';
import type {Placer} from './placer.js';
import {createJobGroups} from './job-groups.js';
import {createRetryTimes} from './create-retry-times.js';
import {createRunExpectations} from './run-expectations.js';
import {createServerPool} from './server-pool.js';
import {createSlowRunDetector} from './slow-run-detector.js';
import {createStartExclusions} from './start-exclusions.js';
import {createSubmittedJobs} from './submitted-jobs.js';
import {createTakeoverLog} from './takeover-log.js';
import {createTaskEnds} from './task-ends.js';
import {createTaskStarts, type DeferredStart} from './task-starts.js';
import {createUnservableJobs} from './unservable-jobs.js';
import {findRefusals, getWaitingJobs} from './waiting-jobs.js';

export type PlacerOptions = {
	term: number;
	/** A number that no other daemon of the deployment has. */
	daemonNumber: number;
	backendServerClient: BackendServerClient;
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	metrics: MetricSink;
	earlierServers: EarlierServers;
	serverRecorder: ServerRecorder;
	/** What is known of the jobs of earlier placers. Without it, every job that reaches this placer as new may be one of them. */
	earlierJobs?: EarlierJobs | undefined;
	/** The factor by which a task takes longer on a rack without its data. Without it, tasks never wait for such a rack. */
	remoteRunFactor?: number | undefined;
	/** The memory for open jobs and results; unlimited if it is missing. */
	jobMemoryBytes?: number | undefined;
	/** The crashes that this daemon knows of, which outlive its terms. */
	crashRegister: CrashRegister;
	/** Called with each crash that this placer has noticed first. */
	onCrashRecord: (record: CrashRecord) => void;
	/** Called when a backend server has shown that it still is the incarnation in use, although another one was described. */
	onDescriptionRefuted: (known: BackendServerDescription, refuted: BackendServerDescription) => void;
	/** Called with the result of a job and the entry daemon that waits for it. */
	onResult: (entryId: string, jobId: string, result: JobOutcome) => void;
};

/** The wait to announce to callers of a queue that has no backend servers until a crashed one is back. */
const suspendedWaitMs = 3000;

/**
 * Creates the placer of a term. It claims each backend server before it uses it, so that it knows exactly which tasks run
 * there, whatever an earlier placer did.
 * @param options - The term and the ports.
 */
export function createPlacer(options: PlacerOptions): Placer {
	const {timers, events, metrics, remoteRunFactor, onResult} = options;
	const jobTable = createJobTable(timers);
	const sizeShares = createSizeShares();
	const jobLog = createJobLog({
		timers, events, metrics, sizeShares,
	});
	const crashMonitor = createCrashMonitor({
		...options,
		jobTable,
		findServer: serverId => pool.findServer(serverId),
		onChange() {
			schedulePass();
		},
	});
	const givenUpJobs = createGivenUpJobs({...options, jobTable, onGivenUp: endJob});
	const intake = createJobIntake(timers, sizeShares);
	const expectations = createRunExpectations(timers, jobTable, remoteRunFactor);
	const {getRunFactor, findExpectedEndMs} = expectations;
	let loadMs = 0;
	const passes = createPassScheduler(timers, runPass);
	const {schedulePass} = passes;
	const startWindow = createStartWindow({...options, onOpen: schedulePass});
	const pool = createServerPool({
		...options,
		startWindow,
		isRunAwaited: taskName => options.earlierJobs?.mayBeHandedOver(getJobId(taskName)) ?? true,
		listener: {
			onRunEnd: handleRunEnd,
			onHeld() {
				takeoverLog.handleClaim();
				schedulePass();
			},
			onCrashSuspected: crashMonitor.handleCrash,
			onCrashResolved(session, hasCrashed) {
				crashMonitor.handleResolution(session, hasCrashed);
				schedulePass();
			},
			onStateChange(session) {
				if (session.getState() === 'silent') {
					crashMonitor.handleSilence(session);
				}

				schedulePass();
			},
		},
		onServersChange() {
			exclusions.handleServersChange();
		},
		onRunsLost(session, runs) {
			for (const run of runs) {
				handleRunEnd(session, run, 'lost');
			}
		},
	});
	const quarantine = createQueueQuarantine({
		...options, jobTable, pool, getUsableServers: service => taskStarts.getUsableServers(service),
	});
	const getRetryAfterMs = createRetryTimes({...options, pool});
	const takeoverLog = createTakeoverLog({...options, getKnowledge: pool.getKnowledge});
	const recovery = createJobRecovery({
		...options,
		jobTable,
		pool,
		newJobHold: createNewJobHold(timers, pool, options.earlierJobs),
		onUnknown(job) {
			endJob(job, {outcome: 'unknown'});
		},
		onCompleted(job) {
			endJob(job, {outcome: 'completed'});
		},
	});
	const evacuatedJobs = createEvacuatedJobs({
		timers,
		jobTable,
		pool,
		onRefused(job) {
			refuse(job, 'evacuated', 0);
		},
		onUnknown(job) {
			endJob(job, {outcome: 'unknown'});
		},
	});
	const leavingEntries = createLeavingEntries(timers, schedulePass);
	const unservableJobs = createUnservableJobs({
		timers,
		jobTable,
		pool,
		leavingEntries,
		onRefused(job) {
			metrics.increment('job-refused-stopping');
			refuse(job, 'stopping', 0);
		},
	});
	const trialRuns = createTrialRuns(timers, options.crashRegister);
	const exclusions = createStartExclusions({
		...options, trialRuns, getServers: () => [...pool.getServers()].map(({session}) => session.getDescription()),
	});
	const movedRuns = createMovedRuns({
		timers, events, metrics, jobTable, pool, remoteRunFactor, ...expectations,
	});
	const groups = createJobGroups({
		timers, quarantine, movedRuns, remoteRunFactor, findExpectedEndMs, getUsableServers: service => taskStarts.getUsableServers(service), getAvoidedServerIds: exclusions.getAvoidedServerIds,
	});
	const slowRunDetector = createSlowRunDetector({
		timers, events, metrics, jobTable, pool, getRunFactor,
	});
	const submittedJobs = createSubmittedJobs({
		...options, jobTable, jobLog, intake, recovery, schedulePass, refuse, endJob, stopRuns,
	});
	const taskStarts = createTaskStarts({
		...options, pool, recovery, evacuatedJobs, trialRuns, startWindow, sizeShares, takeoverLog, onJobEnd: endJob,
	});
	const taskEnds = createTaskEnds({
		timers, events, metrics, pool, intake, getRunFactor, onJobEnd: endJob,
	});

	function runPass(): void {
		exclusions.recordServers();
		recovery.recoverJobs();
		evacuatedJobs.endJobs();
		givenUpJobs.endJobs();
		quarantine.update();
		refuseSuspendedJobs();
		unservableJobs.refuseJobs();
		const nowMs = timers.getNowMs();
		const waiting = getWaitingJobs(jobTable.getJobs(), nowMs);
		const tables = groups.createTables(waiting);
		const {refusals, loadMs: nextLoadMs} = findRefusals(jobTable.getJobs(), waiting, {
			tables, getGroup: groups.getGroup, startWindow, nowMs,
		});
		loadMs = nextLoadMs;
		for (const {job, reason, waitMs, isForLag} of refusals) {
			metrics.increment('job-refused-lag', Number(isForLag));
			refuse(job, reason, waitMs);
		}

		const deferred: DeferredStart[] = [];
		for (const {job} of waiting) {
			if (!job.isEnded) {
				taskStarts.startTasks(job, tables.get(groups.getGroup(job).key)!, deferred);
			}
		}

		for (const start of deferred) {
			start();
		}

		// A placer that is itself behind could not start the tasks of stopped runs soon.
		if (!startWindow.isLimited()) {
			movedRuns.moveRuns(service => tables.get(service) ?? groups.createSharedTable(service, waiting));
		}
	}

	/** None of the jobs of a suspended queue can start before a crashed backend server is back, so they are refused at once. */
	function refuseSuspendedJobs(): void {
		for (const job of jobTable.getJobs()) {
			if (!job.hasStarted && quarantine.isSuspended(job.request.queueName)) {
				metrics.increment('job-refused-quarantine');
				refuse(job, 'no-capacity', suspendedWaitMs);
			}
		}
	}

	function refuse(job: PlacedJob, reason: RefusalReason, waitMs: number): void {
		endJob(job, {outcome: 'refused', reason, retryAfterMs: getRetryAfterMs({job, reason, waitMs})});
	}

	function handleRunEnd(session: BackendSession, run: Run, end: RunEnd): void {
		if (end === 'lost') {
			crashMonitor.handleLostRun(session, run);
		}

		const found = jobTable.findTask(run.taskName);
		if (found?.task.session === session && found.task.runNumber === run.runNumber) {
			taskEnds.handleEnd(found.job, found.task, end);
		} else if (end === 'done') {
			recovery.addDoneTask(run.taskName);
		}

		schedulePass();
	}

	function endJob(job: PlacedJob, result: JobOutcome): void {
		jobTable.endJob(job, result);
		stopRuns(job);
		jobLog.recordEnd(job, result);
		onResult(job.entryId, job.request.jobId, result);
	}

	function stopRuns(job: PlacedJob): void {
		for (const task of job.tasks) {
			task.session?.stop(task.name);
		}
	}

	/** Logs the open jobs that this placer has started, since their tasks may run on until another placer finds them. */
	function logOpenJobs(): void {
		for (const job of jobTable.getJobs()) {
			if (job.serverIds.length > 0) {
				events.write('job-left-open', {
					job: job.request.jobId, entry: job.entryId, ageMs: Math.round(timers.getNowMs() - job.arrivedAtMs), servers: job.serverIds.join(' '),
				});
			}
		}
	}

	return {
		setServers(descriptions, hiddenCount) {
			pool.setServers(descriptions, hiddenCount);
			schedulePass();
		},
		setEvacuatedZones(availabilityZones) {
			evacuatedJobs.setEvacuatedZones(availabilityZones);
			schedulePass();
		},
		submit: submittedJobs.submit,
		cancel: submittedJobs.cancel,
		abort: submittedJobs.abort,
		withdraw: submittedJobs.withdraw,
		withdrawUnlisted: submittedJobs.withdrawUnlisted,
		endJobsOfEntry: submittedJobs.endJobsOfEntry,
		checkHeldJobs: schedulePass,
		setEntryRemainingMs(entry, remainingMs) {
			leavingEntries.setRemainingMs(entry, remainingMs);
			schedulePass();
		},
		findResult: jobId => (jobTable.findJob(jobId) === undefined ? jobTable.findResult(jobId) : 'open'),
		getPendingCount(queueName) {
			let count = 0;
			for (const job of jobTable.getJobs()) {
				count += job.request.queueName === queueName && !job.hasStarted ? 1 : 0;
			}

			return count;
		},
		getUnstartedJobIds() {
			const jobIds = new Map<string, string[]>();
			for (const job of jobTable.getJobs()) {
				if (isUnstarted(job)) {
					addToList(jobIds, job.entryId, job.request.jobId);
				}
			}

			return jobIds;
		},
		getLoadMs: () => evacuatedJobs.findLoadMs() ?? loadMs,
		getServerStatuses: () => [...pool.getServers()].map(({session}) => ({
			id: session.getDescription().id, state: session.getState(), runCount: session.getRuns().size,
		})),
		hasExhaustedClaims: () => [...pool.getServers()].some(({session}) => session.hasExhaustedClaims()),
		isSuperseded() {
			const states = [...pool.getServers()].map(({session}) => session.getState());
			return states.filter(state => state === 'fenced').length * 2 > states.length;
		},
		stop() {
			passes.stop();
			slowRunDetector.stop();
			crashMonitor.stop();
			startWindow.stop();
			logOpenJobs();
			pool.close();
		},
	};
}
