import type {
	EventLog, MetricSink, RandomSource, TimerService,
} from '@camphortack/core';
import {createRunTimeBook} from '../estimates/run-time-book.js';
import {createWorkBook} from '../estimates/work-book.js';
import {getJobOutline} from '../jobs/get-job-outline.js';
import {
	createPlacedTasks, getStartableTasks, runsPerGeneration, type PlacedJob, type PlacedTask,
} from '../jobs/placed-job.js';
import type {JobOutcome, PlacementMessageOf, RefusalReason} from '../messages/placement-messages.js';
import type {BackendServerClient} from '../ports/backend-server-client.js';
import type {BackendSession} from '../sessions/backend-session.js';
import type {Run, RunEnd} from '../sessions/run.js';
import {createJobLedger} from './job-ledger.js';
import {createJobRecovery, recoveryMs} from './job-recovery.js';
import type {Placer} from './placer.js';
import {createRoomTable, type RoomTable} from './room-table.js';
import {createServerPool, type PooledServer} from './server-pool.js';
import {createSlowRunCheck} from './slow-run-check.js';
import {findRefusals, getWaitingJobs, type Waiting} from './waiting-jobs.js';

export type PlacerOptions = {
	term: number;
	/** A number that no other daemon of the deployment has. */
	daemonNumber: number;
	orders: BackendServerClient;
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	metrics: MetricSink;
	/** Tells the daemon that waits for a job how it ended. */
	onResult: (entryId: string, jobId: string, result: JobOutcome) => void;
};

/** Passes closer together than this are made as one. */
const shortestPassIntervalMs = 2;
const longestPassIntervalMs = 50;
const shortestRetryAfterMs = 1000;
const retryAfterSpreadMs = 2000;

/**
 * Creates the placer of a term. It claims each backend server before it uses it, so that it knows exactly what runs
 * there whatever an earlier placer did.
 * @param options - The term and the ports.
 */
export function createPlacer(options: PlacerOptions): Placer {
	const {timers, random, events, metrics, onResult} = options;
	const ledger = createJobLedger(timers);
	const runTimes = createRunTimeBook();
	const workBook = createWorkBook();
	let isPassPlanned = false;
	let passedAtMs = Number.NEGATIVE_INFINITY;
	let isStopped = false;
	let loadMs = 0;
	const pool = createServerPool({
		...options,
		listener: {
			onRunEnd: handleRunEnd,
			onHeld: planPass,
			onStateChange: planPass,
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
		ledger,
		pool,
		onUnknown(job) {
			endJob(job, {outcome: 'unknown'});
		},
	});
	const slowRunCheck = createSlowRunCheck({
		timers, events, metrics, ledger, pool,
	});
	/** Grades of backend servers change with time alone, and jobs become too late. */
	const passInterval = timers.addInterval(longestPassIntervalMs, planPass);

	/** Plans a pass over the waiting jobs: at once, or soon if one has just been made, so that many ends share one. */
	function planPass(): void {
		if (isPassPlanned || isStopped) {
			return;
		}

		isPassPlanned = true;
		if (timers.getNowMs() - passedAtMs < shortestPassIntervalMs) {
			timers.addTimer(shortestPassIntervalMs, runPlannedPass);
		} else {
			queueMicrotask(runPlannedPass);
		}
	}

	function runPlannedPass(): void {
		isPassPlanned = false;
		if (!isStopped) {
			passedAtMs = timers.getNowMs();
			runPass();
		}
	}

	function runPass(): void {
		recovery.recoverJobs();
		const nowMs = timers.getNowMs();
		const waiting = getWaitingJobs(ledger.getJobs(), nowMs);
		const tables = createTables(waiting);
		const {refusals, loadMs: nextLoadMs} = findRefusals(ledger.getJobs(), waiting, tables, nowMs);
		loadMs = nextLoadMs;
		for (const {job, reason, waitMs} of refusals) {
			refuse(job, reason, waitMs);
		}

		for (const {job} of waiting) {
			if (!job.isEnded) {
				placeJob(job, tables.get(job.request.service)!);
			}
		}
	}

	function createTables(waiting: readonly Waiting[]): Map<string, RoomTable> {
		const services = new Set(waiting.map(({job}) => job.request.service));
		return new Map([...services].map(service => [service, createRoomTable(getUsableServers(service))]));
	}

	function refuse(job: PlacedJob, reason: RefusalReason, waitMs: number): void {
		const retryAfterMs = Math.round(Math.max(shortestRetryAfterMs, waitMs) + (random.getFraction() * retryAfterSpreadMs));
		endJob(job, {outcome: 'refused', reason, retryAfterMs});
	}

	function placeJob(job: PlacedJob, table: RoomTable): void {
		for (const task of getStartableTasks(job)) {
			// A run of an earlier submission of the same job may still be on its way out.
			const server = pool.findRun(task.name) === undefined ? table.takeRoom(job, task) : undefined;
			if (server !== undefined) {
				startTask(job, task, server);
			}
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
		job.hasStarted = true;
		job.serverIds.push(session.getDescription().id);
		metrics.increment('task-started');
		session.start({
			taskName: task.name, runNumber: task.runNumber, payload: job.request.payload, needs: task.needs,
		});
	}

	function handleRunEnd(session: BackendSession, run: Run, how: RunEnd): void {
		const found = ledger.findTask(run.taskName);
		if (found?.task.session === session && found.task.runNumber === run.runNumber) {
			handleTaskEnd(found.job, found.task, how);
		}

		planPass();
	}

	function handleTaskEnd(job: PlacedJob, task: PlacedTask, how: RunEnd): void {
		const {session} = task;
		task.session = undefined;
		task.state = 'waiting';
		switch (how) {
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
				pool.findServer(session!.getDescription().id)?.health.addSilence(job.request.jobId);
				events.write('task-repeated', {
					task: task.name, run: task.runNumber, server: session!.getDescription().id, reason: how,
				});
				break;
			}

			case 'old-run':
			case 'stopped':
			case 'lapsed':
			case 'not-started':
			case 'lost': {
				events.write('task-repeated', {
					task: task.name, run: task.runNumber, server: session!.getDescription().id, reason: how,
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
			runTimes.addRun(job.request.queueName, durationMs);
		}

		pool.findServer(session.getDescription().id)?.health.addSuccess();
		metrics.increment('task-done');
		if (job.tasks.every(other => other.state === 'done')) {
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

	function endJob(job: PlacedJob, result: JobOutcome): void {
		ledger.endJob(job, result);
		stopRuns(job);
		const ageMs = Math.round(timers.getNowMs() - job.arrivedAtMs);
		events.write('job-ended', {
			job: job.request.jobId,
			queue: job.request.queueName,
			outcome: result.outcome,
			reason: 'reason' in result ? result.reason : undefined,
			ageMs,
			objectiveMs: Math.round(job.objectiveMs),
			tasks: job.tasks.length,
			runs: job.tasks.reduce((sum, task) => sum + (task.runNumber % runsPerGeneration), 0),
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

	function addJob(entryId: string, message: PlacementMessageOf<'placement.submit'>): void {
		const job = createJob(entryId, message);
		ledger.addJob(job);
		workBook.addJob(job.request.queueName, job.work);
		events.write('job-taken', {
			job: job.request.jobId,
			queue: job.request.queueName,
			entry: entryId,
			generation: message.generation,
			ageMs: Math.round(message.request.ageMs),
			expectedMs: Math.round(job.longestMs),
			objectiveMs: Math.round(job.objectiveMs),
			relativeWork: Number(job.relativeWork.toFixed(2)),
		});
		planPass();
	}

	function createJob(entryId: string, {request, submissionId, generation, mayHaveStarted}: PlacementMessageOf<'placement.submit'>): PlacedJob {
		const {longestMs, work} = getJobOutline(request, step => runTimes.getExpectedMs(request.queueName, step.estimateMs));
		return {
			request,
			submissionId,
			entryId,
			arrivedAtMs: timers.getNowMs() - request.ageMs,
			tasks: createPlacedTasks(request, generation),
			objectiveMs: (longestMs * request.stretch) + request.slackMs,
			longestMs,
			work,
			relativeWork: workBook.getRelativeWork(request.queueName, work),
			hasStarted: mayHaveStarted,
			isEnded: false,
			serverIds: [],
			recoverUntilMs: mayHaveStarted ? timers.getNowMs() + recoveryMs : undefined,
		};
	}

	return {
		setServers(descriptions, hiddenCount) {
			pool.setServers(descriptions, hiddenCount);
			planPass();
		},
		submit(entryId, message) {
			const {jobId} = message.request;
			const known = ledger.findJob(jobId);
			const result = ledger.findResult(jobId, message.submissionId);
			if (known !== undefined) {
				known.entryId = entryId;
			} else if (result === undefined) {
				addJob(entryId, message);
			} else {
				onResult(entryId, jobId, result);
			}
		},
		cancel(jobId) {
			const job = ledger.findJob(jobId);
			if (job !== undefined) {
				endJob(job, {outcome: 'failed', reason: 'cancelled'});
			}
		},
		findResult: jobId => (ledger.findJob(jobId) === undefined ? ledger.findResult(jobId) : 'open'),
		endJobsOfEntry(entryId) {
			const dropped = [...ledger.getJobs()].filter(job => job.entryId === entryId);
			for (const job of dropped) {
				endJob(job, {outcome: 'unknown'});
			}

			return dropped.length;
		},
		getPendingCount(queueName) {
			let count = 0;
			for (const job of ledger.getJobs()) {
				count += job.request.queueName === queueName && !job.hasStarted ? 1 : 0;
			}

			return count;
		},
		getLoadMs: () => loadMs,
		getServerStatuses: () => [...pool.getServers()].map(({session}) => ({
			id: session.getDescription().id, state: session.getState(), runCount: session.getRuns().size,
		})),
		hasExhaustedClaims: () => [...pool.getServers()].some(({session}) => session.hasUsedUpClaims()),
		isSuperseded() {
			const states = [...pool.getServers()].map(({session}) => session.getState());
			return states.filter(state => state === 'fenced').length * 2 > states.length;
		},
		stop() {
			isStopped = true;
			slowRunCheck.stop();
			passInterval.cancel();
			pool.close();
		},
	};
}
