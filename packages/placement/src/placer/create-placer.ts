import type {
	EventLog, MetricSink, RandomSource, TimerService,
} from '@camphortack/core';
import {findSlowness} from '../health/find-slowness.js';
import {createRunTimeBook} from '../estimates/run-time-book.js';
import {createWorkBook} from '../estimates/work-book.js';
import {getJobOutline} from '../jobs/get-job-outline.js';
import {
	createPlacedTasks, getStartableTasks, runsPerGeneration, type PlacedJob, type PlacedTask,
} from '../jobs/placed-job.js';
import type {JobOutcome, PlacementMessageOf, RefusalReason} from '../messages/placement-messages.js';
import type {BackendServerOrders} from '../ports/backend-server-orders.js';
import {createWaitBook, type ServiceLoad} from '../queue/create-wait-book.js';
import {compareWaitingJobs} from '../queue/compare-waiting-jobs.js';
import {findRefusal} from '../queue/find-refusal.js';
import type {WaitingJob} from '../queue/waiting-job.js';
import type {BackendSession} from '../sessions/backend-session.js';
import {getReportedRunningMs, type Run, type RunEnd} from '../sessions/run.js';
import {createJobLedger} from './job-ledger.js';
import type {Placer} from './placer.js';
import {createRoomTable, type RoomTable} from './room-table.js';
import {createServerPool, type PooledServer} from './server-pool.js';

export type PlacerOptions = {
	term: number;
	/** A number that no other daemon of the deployment has. */
	daemonNumber: number;
	orders: BackendServerOrders;
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	metrics: MetricSink;
	/** Tells the daemon that waits for a job how it ended. */
	onResult: (entryId: string, jobId: string, result: JobOutcome) => void;
};

/** Passes closer together than this are made as one. */
const shortestPassIntervalMs = 2;
const slownessCheckIntervalMs = 40;
/** How often one task is begun again because its run was slow. */
const mostSlowRuns = 2;
/** Progress from which the run time of a task can be projected. */
const projectablePercent = 10;
/** How long runs of an earlier placer are looked for on backend servers that do not answer yet. */
const recoveryMs = 400;
/** Share of the cores that tasks of usual size can fill, given the holes they leave. */
const fillableShare = 0.85;
const shortestRetryAfterMs = 1000;
const retryAfterSpreadMs = 2000;

type Waiting = {
	job: PlacedJob;
	outlook: WaitingJob;
};

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
	const slownessCheck = timers.addInterval(slownessCheckIntervalMs, checkSlowRuns);

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
		recoverJobs();
		const nowMs = timers.getNowMs();
		const waiting = getWaitingJobs(nowMs);
		const tables = createTables(waiting);
		refuseHopeless(waiting, tables, nowMs);
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

	function getWaitingJobs(nowMs: number): Waiting[] {
		const waiting: Waiting[] = [];
		for (const job of ledger.getJobs()) {
			if (job.recoverUntilMs === undefined && job.tasks.some(task => task.state === 'waiting')) {
				waiting.push({job, outlook: getOutlook(job)});
			}
		}

		return waiting.toSorted((left, right) => compareWaitingJobs(left.outlook, right.outlook, nowMs));
	}

	function getOutlook(job: PlacedJob): WaitingJob {
		return {
			arrivedAtMs: job.arrivedAtMs,
			longestMs: job.longestMs,
			objectiveMs: job.objectiveMs,
			callerLeavesAtMs: job.arrivedAtMs + job.request.callerTimeoutMs,
			waitingMillicores: getMillicores(job, 'waiting'),
			relativeWork: job.relativeWork,
			hasStarted: job.hasStarted,
		};
	}

	function refuseHopeless(waiting: readonly Waiting[], tables: ReadonlyMap<string, RoomTable>, nowMs: number): void {
		const queues = new Map([...tables].map(([service, table]) => [service, createWaitBook(getServiceLoad(service, table))]));
		for (const {job, outlook} of waiting) {
			const queue = queues.get(job.request.service)!;
			const waitAheadMs = queue.getWaitMs(outlook);
			const reason = findRefusal(outlook, {nowMs, waitAheadMs});
			if (reason === undefined) {
				queue.addJob(outlook);
			} else {
				refuse(job, reason, waitAheadMs);
			}
		}
	}

	function getServiceLoad(service: string, table: RoomTable): ServiceLoad {
		let runningMillicores = 0;
		let runningWork = 0;
		for (const job of ledger.getJobs()) {
			if (job.request.service === service) {
				const millicores = getMillicores(job, 'running');
				runningMillicores += millicores;
				runningWork += millicores * job.longestMs;
			}
		}

		return {
			usableMillicores: table.getUsableMillicores() * fillableShare,
			freeMillicores: table.getFreeMillicores(),
			meanRunMs: runningMillicores === 0 ? 0 : runningWork / runningMillicores,
		};
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

	/** Gives jobs of an earlier placer their runs back, once every backend server was asked or the time for it is over. */
	function recoverJobs(): void {
		const nowMs = timers.getNowMs();
		for (const job of ledger.getJobs()) {
			if (job.recoverUntilMs !== undefined && (pool.isFullyKnown() || nowMs >= job.recoverUntilMs)) {
				recoverJob(job);
			}
		}
	}

	function recoverJob(job: PlacedJob): void {
		let missingCount = 0;
		for (const task of job.tasks) {
			missingCount += adoptRun(task) ? 0 : 1;
		}

		job.recoverUntilMs = undefined;
		const isKnown = missingCount === 0 || pool.isFullyKnown();
		events.write('job-recovered', {
			job: job.request.jobId, tasks: job.tasks.length, missing: missingCount, known: isKnown,
		});
		if (!isKnown) {
			endJob(job, {outcome: 'unknown'});
		}
	}

	function adoptRun(task: PlacedTask): boolean {
		const found = pool.findRun(task.name);
		if (found === undefined) {
			return false;
		}

		found.run.needs = task.needs;
		task.state = 'running';
		task.session = found.server.session;
		task.runNumber = found.run.runNumber;
		task.startedAtMs = found.run.startedAtMs;
		task.isAdopted = true;
		return true;
	}

	/** Stops runs that are so slow that another backend server would be faster. */
	function checkSlowRuns(): void {
		for (const job of ledger.getJobs()) {
			for (const task of job.tasks) {
				if (task.state === 'running' && !task.isAdopted) {
					checkSlowRun(job, task);
				}
			}
		}

		planPass();
	}

	function checkSlowRun(job: PlacedJob, task: PlacedTask): void {
		const run = task.session?.findRun(task.name);
		if (run?.state !== 'running' || task.session?.getState() !== 'held' || task.slownessCount >= mostSlowRuns) {
			return;
		}

		const runningMs = getReportedRunningMs(run);
		const {percent} = run;
		const slowness = findSlowness({
			runningMs, percent, expectedMs: job.longestMs, siblingMs: getSiblingTimes(job, task),
		});
		if (slowness === undefined) {
			return;
		}

		const serverId = task.session.getDescription().id;
		task.slownessCount++;
		task.avoidedServerIds.add(serverId);
		pool.findServer(serverId)?.health.addSlowness(job.request.jobId);
		metrics.increment('task-slow');
		events.write('task-slow', {
			task: task.name, run: task.runNumber, server: serverId, slowness, runningMs: Math.round(runningMs), expectedMs: Math.round(job.longestMs), percent,
		});
		task.session.stop(task.name);
	}

	/** Gets the run times of tasks of the same step elsewhere: those that ended, and those far enough to project. */
	function getSiblingTimes(job: PlacedJob, task: PlacedTask): number[] {
		const times: number[] = [];
		for (const other of job.tasks) {
			const isElsewhere = other !== task && other.step === task.step && other.session !== task.session;
			const timeMs = isElsewhere ? findRunTimeMs(other) : undefined;
			if (timeMs !== undefined) {
				times.push(timeMs);
			}
		}

		return times;
	}

	function findRunTimeMs(task: PlacedTask): number | undefined {
		if (task.state !== 'running') {
			return task.durationMs;
		}

		const run = task.session?.findRun(task.name);
		const isProjectable = run !== undefined && !task.isAdopted && run.percent >= projectablePercent;
		return isProjectable ? getReportedRunningMs(run) * 100 / run.percent : undefined;
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
		dropEntry(entryId) {
			for (const job of ledger.getJobs()) {
				if (job.entryId === entryId) {
					endJob(job, {outcome: 'unknown'});
				}
			}
		},
		getPendingCount(queueName) {
			let count = 0;
			for (const job of ledger.getJobs()) {
				count += job.request.queueName === queueName && !job.hasStarted ? 1 : 0;
			}

			return count;
		},
		getServerStatuses: () => [...pool.getServers()].map(({session}) => ({
			id: session.getDescription().id, state: session.getState(), runCount: session.getRuns().size,
		})),
		isOvertaken() {
			const states = [...pool.getServers()].map(({session}) => session.getState());
			return states.filter(state => state === 'fenced').length * 2 > states.length;
		},
		stop() {
			isStopped = true;
			slownessCheck.cancel();
			pool.close();
		},
	};
}

function getMillicores(job: PlacedJob, state: PlacedTask['state']): number {
	let sum = 0;
	for (const task of job.tasks) {
		sum += task.state === state ? task.needs.cpuMillicores : 0;
	}

	return sum;
}
