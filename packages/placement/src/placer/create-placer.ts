import type {
	EventLog, MetricSink, RandomSource, TimerService,
} from '@camphortack/core';
import {
	getStartableTasks, isDone, runNumbersPerGeneration, type PlacedJob, type PlacedTask,
} from '../jobs/placed-job.js';
import type {JobOutcome, PlacementMessageOf} from '../messages/placement-messages.js';
import type {BackendServerClient} from '../ports/backend-server-client.js';
import type {ServerSources} from '../ports/server-sources.js';
import {createRefusalCounts} from '../queue/create-refusal-counts.js';
import {getRetryAfterMs} from '../queue/get-retry-after-ms.js';
import type {ShareGroup} from '../queue/waiting-job.js';
import type {BackendSession} from '../sessions/backend-session.js';
import type {Run, RunEnd} from '../sessions/run.js';
import {createJobTable} from './job-table.js';
import {createJobIntake} from './job-intake.js';
import {createJobRecovery} from './job-recovery.js';
import type {Placer} from './placer.js';
import {createCapacitySharing} from './create-capacity-sharing.js';
import {createCapacityTable, type CapacityTable} from './capacity-table.js';
import {createServerPool, type PooledServer} from './server-pool.js';
import {createSlowRunDetector} from './slow-run-detector.js';
import {
	findRefusals, getDemandPercent, getPlaceableJobs, getServiceLoads, getWaitingJobs, type Refusal, type WaitingEntry,
} from './waiting-jobs.js';

export type PlacerOptions = {
	term: number;
	/** A number that no other daemon of the deployment has. */
	daemonNumber: number;
	backendServerClient: BackendServerClient;
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	metrics: MetricSink;
	serverSources: ServerSources;
	/** Called with the result of a job and the entry daemon that waits for it. */
	onResult: (entryId: string, jobId: string, result: JobOutcome) => void;
};

/** Scheduling passes requested within this interval are combined into one. */
const minPassIntervalMs = 2;
const maxPassIntervalMs = 50;

/**
 * Creates the placer of a term. It claims each backend server before it uses it, so that it knows exactly which tasks run
 * there, whatever an earlier placer did.
 * @param options - The term and the ports.
 */
export function createPlacer(options: PlacerOptions): Placer {
	const {timers, random, events, metrics, onResult} = options;
	const jobTable = createJobTable(timers);
	const intake = createJobIntake(timers);
	const sharing = createCapacitySharing();
	const refusalCounts = createRefusalCounts();
	let isPassScheduled = false;
	let lastPassAtMs = Number.NEGATIVE_INFINITY;
	let isStopped = false;
	let loadMs = 0;
	const pool = createServerPool({
		...options,
		listener: {
			onRunEnd: handleRunEnd,
			onHeld: schedulePass,
			onStateChange: schedulePass,
		},
		onRunsLost(session, runs) {
			for (const run of runs) {
				handleRunEnd(session, run, 'lost');
			}
		},
	});
	const recovery = createJobRecovery({
		timers,
		events,
		jobTable,
		pool,
		serverSources: options.serverSources,
		onUnknown(job) {
			endJob(job, {outcome: 'unknown'});
		},
		onCompleted(job) {
			endJob(job, {outcome: 'completed'});
		},
	});
	const slowRunDetector = createSlowRunDetector({
		timers, events, metrics, jobTable, pool,
	});
	/** Passes also run periodically: grades of backend servers change and jobs become too late without any event. */
	const passInterval = timers.addInterval(maxPassIntervalMs, schedulePass);

	/**
	 * Schedules a pass over the waiting jobs: immediately, or after a short delay if one has just run, so that runs
	 * that end together cause only one pass.
	 */
	function schedulePass(): void {
		if (isPassScheduled || isStopped) {
			return;
		}

		isPassScheduled = true;
		if (timers.getNowMs() - lastPassAtMs < minPassIntervalMs) {
			timers.addTimer(minPassIntervalMs, runScheduledPass);
		} else {
			queueMicrotask(runScheduledPass);
		}
	}

	function runScheduledPass(): void {
		isPassScheduled = false;
		if (!isStopped) {
			lastPassAtMs = timers.getNowMs();
			runPass();
		}
	}

	function runPass(): void {
		recovery.recoverJobs();
		const nowMs = timers.getNowMs();
		const waitingJobs = getWaitingJobs(jobTable.getJobs());
		const tables = createTables(waitingJobs);
		const loads = getServiceLoads(jobTable.getJobs(), tables);
		const waiting = [...loads].flatMap(([service, load]) => sharing.sortJobs(waitingJobs.filter(({job}) => job.request.service === service), load, nowMs));
		const {refusals, loadMs: nextLoadMs} = findRefusals(waiting, loads, nowMs);
		loadMs = nextLoadMs;
		metrics.setGauge('placer-demand-percent', getDemandPercent(waiting, loads));
		for (const refusal of refusals) {
			refuse(refusal);
		}

		for (const job of getPlaceableJobs(waiting, loads)) {
			placeJob(job, tables.get(job.request.service)!);
		}
	}

	function createTables(waiting: readonly WaitingEntry[]): Map<string, CapacityTable> {
		const services = new Set(waiting.map(({job}) => job.request.service));
		return new Map([...services].map(service => [service, createCapacityTable(getUsableServers(service))]));
	}

	function refuse({job, reason, drainMs, shareGroup}: Refusal): void {
		const refusedCount = refusalCounts.addRefusal(job.request.queueName, timers.getNowMs());
		metrics.increment(`job-refused-${reason}`);
		if (shareGroup !== undefined) {
			metrics.increment(`job-refused-${shareGroup}`);
		}

		endJob(job, {outcome: 'refused', reason, retryAfterMs: getRetryAfterMs({drainMs, refusedCount, fraction: random.getFraction()})}, shareGroup);
	}

	function placeJob(job: PlacedJob, table: CapacityTable): void {
		for (const task of getStartableTasks(job)) {
			if (!recovery.adoptEarlierRun(task)) {
				startTaskIfPossible(job, task, table);
			}
		}

		if (isDone(job)) {
			endJob(job, {outcome: 'completed'});
		}
	}

	function startTaskIfPossible(job: PlacedJob, task: PlacedTask, table: CapacityTable): void {
		// A run of an earlier submission of the same job may still be stopping.
		const server = pool.findRun(task.name) === undefined ? table.allocate(job, task) : undefined;
		if (server !== undefined) {
			startTask(job, task, server);
		}
	}

	function getUsableServers(service: string): PooledServer[] {
		return [...pool.getServers()].filter(({session}) => {
			const description = session.getDescription();
			return session.getState() === 'held' && description.state === 'ready' && description.service === service;
		});
	}

	function startTask(job: PlacedJob, task: PlacedTask, {session}: PooledServer): void {
		task.state = 'running';
		task.session = session;
		task.runNumber++;
		task.isAdopted = false;
		task.startedAtMs = timers.getNowMs();
		if (!job.hasStarted) {
			sharing.addStart(job);
		}

		job.hasStarted = true;
		job.serverIds.push(session.getDescription().id);
		metrics.increment('task-started');
		session.start({
			taskName: task.name, runNumber: task.runNumber, payload: job.request.payload, needs: task.needs,
		});
	}

	function handleRunEnd(session: BackendSession, run: Run, end: RunEnd): void {
		const found = jobTable.findTask(run.taskName);
		if (found?.task.session === session && found.task.runNumber === run.runNumber) {
			handleTaskEnd(found.job, found.task, end);
		} else if (end === 'done') {
			recovery.addDoneTask(run.taskName);
		}

		schedulePass();
	}

	function handleTaskEnd(job: PlacedJob, task: PlacedTask, end: RunEnd): void {
		const {session} = task;
		task.session = undefined;
		task.state = 'waiting';
		switch (end) {
			case 'done': {
				finishTask(job, task, session!);
				break;
			}

			case 'failed': {
				failTask(job, task, session!);
				break;
			}

			case 'unhealthy':
			case 'no-room': {
				task.avoidedServerIds.add(session!.getDescription().id);
				break;
			}

			case 'unanswered': {
				task.avoidedServerIds.add(session!.getDescription().id);
				pool.findServer(session!.getDescription().id)?.health.addUnansweredRequest(job.request.jobId);
				events.write('task-repeated', {
					task: task.name, run: task.runNumber, server: session!.getDescription().id, reason: end,
				});
				break;
			}

			case 'old-run':
			case 'stopped':
			case 'lapsed':
			case 'not-started':
			case 'lost': {
				events.write('task-repeated', {
					task: task.name, run: task.runNumber, server: session!.getDescription().id, reason: end,
				});
				break;
			}
		}
	}

	function finishTask(job: PlacedJob, task: PlacedTask, session: BackendSession): void {
		const durationMs = timers.getNowMs() - task.startedAtMs;
		task.state = 'done';
		if (!task.isAdopted) {
			task.durationMs = durationMs;
			intake.addRun(job.request.queueName, durationMs);
		}

		pool.findServer(session.getDescription().id)?.health.addSuccess();
		metrics.increment('task-done');
		if (isDone(job)) {
			endJob(job, {outcome: 'completed'});
		}
	}

	function failTask(job: PlacedJob, task: PlacedTask, session: BackendSession): void {
		const serverId = session.getDescription().id;
		task.failureCount++;
		task.avoidedServerIds.add(serverId);
		pool.findServer(serverId)?.health.addFailure(job.request.jobId);
		metrics.increment('task-error');
		events.write('task-failed', {
			task: task.name, run: task.runNumber, server: serverId, failures: task.failureCount, mostAttempts: job.request.mostAttempts,
		});
		if (task.failureCount >= job.request.mostAttempts) {
			endJob(job, {outcome: 'failed', reason: 'attempts-used'});
		}
	}

	function endJob(job: PlacedJob, result: JobOutcome, shareGroup?: ShareGroup): void {
		sharing.addEnd(job, result.outcome === 'completed', timers.getNowMs());
		jobTable.endJob(job, result);
		stopRuns(job);
		const ageMs = Math.round(timers.getNowMs() - job.arrivedAtMs);
		events.write('job-ended', {
			job: job.request.jobId,
			queue: job.request.queueName,
			outcome: result.outcome,
			reason: 'reason' in result ? result.reason : undefined,
			shareGroup,
			ageMs,
			objectiveMs: Math.round(job.objectiveMs),
			tasks: job.tasks.length,
			runs: job.tasks.reduce((sum, task) => sum + (task.runNumber % runNumbersPerGeneration), 0),
			entry: job.entryId,
			servers: job.serverIds.join(' '),
		});
		metrics.addTiming('placed-job-time', ageMs);
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

	function addJob(entryId: string, message: PlacementMessageOf<'placement.submit'>): void {
		const job = intake.createJob(entryId, message);
		jobTable.addJob(job);
		sharing.addJob(job, timers.getNowMs());
		events.write('job-taken', {
			job: job.request.jobId,
			queue: job.request.queueName,
			entry: entryId,
			generation: message.generation,
			ageMs: Math.round(message.request.ageMs),
			expectedMs: Math.round(job.criticalPathMs),
			objectiveMs: Math.round(job.objectiveMs),
			relativeWork: Number(job.relativeWork.toFixed(2)),
		});
		schedulePass();
	}

	return {
		setServers(descriptions, hiddenCount) {
			pool.setServers(descriptions, hiddenCount);
			schedulePass();
		},
		submit(entryId, message) {
			const {jobId} = message.request;
			const known = jobTable.findJob(jobId);
			const result = jobTable.findResult(jobId, message.submissionId);
			if (known !== undefined) {
				known.entryId = entryId;
			} else if (result === undefined) {
				addJob(entryId, message);
			} else {
				onResult(entryId, jobId, result);
			}
		},
		cancel(jobId) {
			const job = jobTable.findJob(jobId);
			if (job !== undefined) {
				endJob(job, {outcome: 'failed', reason: 'cancelled'});
			}
		},
		findResult: jobId => (jobTable.findJob(jobId) === undefined ? jobTable.findResult(jobId) : 'open'),
		endJobsOfEntry(entryId) {
			const dropped = [...jobTable.getJobs()].filter(job => job.entryId === entryId);
			for (const job of dropped) {
				endJob(job, {outcome: 'unknown'});
			}

			return dropped.length;
		},
		getPendingCount(queueName) {
			let count = 0;
			for (const job of jobTable.getJobs()) {
				count += job.request.queueName === queueName && !job.hasStarted ? 1 : 0;
			}

			return count;
		},
		getLoadMs: () => loadMs,
		getServerStatuses: () => [...pool.getServers()].map(({session}) => ({
			id: session.getDescription().id, state: session.getState(), runCount: session.getRuns().size,
		})),
		hasExhaustedClaims: () => [...pool.getServers()].some(({session}) => session.hasExhaustedClaims()),
		isSuperseded() {
			const states = [...pool.getServers()].map(({session}) => session.getState());
			return states.filter(state => state === 'fenced').length * 2 > states.length;
		},
		stop() {
			isStopped = true;
			slowRunDetector.stop();
			passInterval.cancel();
			logOpenJobs();
			pool.close();
		},
	};
}
