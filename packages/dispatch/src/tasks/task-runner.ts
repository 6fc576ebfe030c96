import type {
	MetricSink, TaskAnswer, TaskStart, TimerService, EventLog,
} from '@camphortack/core';
import type {EjectionTracker, RetryBudget, RunTimeEstimator} from '@camphortack/policy';
import type {TaskEvent, TaskStarter} from '../dispatcher/task-starter.js';
import type {OpenJob, OpenTask} from '../jobs/open-job.js';
import type {BackendServerTable} from '../servers/backend-server-table.js';
import {addUsedResources, type BackendServerRecord} from '../servers/backend-server-record.js';
import {isIssuedAttemptId, type Attempt} from './attempt.js';
import {createServerLosses} from './server-losses.js';

export type TaskRunnerOptions = {
	incarnation: string;
	timers: TimerService;
	metrics: MetricSink;
	events: EventLog;
	starter: TaskStarter;
	table: BackendServerTable;
	ejection: EjectionTracker;
	estimator: RunTimeEstimator;
	getRetryBudget: (service: string) => RetryBudget;
	/** Called to requeue a task that may be placed again. */
	onRequeued: (task: OpenTask) => void;
	onDone: (task: OpenTask) => void;
	onFailed: (task: OpenTask, reason: 'task-error' | 'task-lost') => void;
	/** Called when a slot has become free. */
	onSlotFree: (server: BackendServerRecord) => void;
};

/** Runs tasks on backend servers and handles answers, failures and retries. */
export type TaskRunner = {
	/** Starts tasks of one job on one backend server, in one message. The caller has already reserved their resources. */
	startTasks(server: BackendServerRecord, job: OpenJob, tasks: readonly OpenTask[]): void;
	handleTaskEvent(event: TaskEvent): void;
	/** Stops the running tasks of a job, with one message per backend server. */
	stopJob(job: OpenJob): void;
	/** Gets the number of backend servers that a task may have crashed, on this daemon or those it came from. */
	getLostServerCount(task: OpenTask): number;
	/** Treats the attempts on a removed backend server as lost. */
	handleServerRemoval(server: BackendServerRecord): void;
	getRunningCount(): number;
	getRunning(): Iterable<Attempt>;
};

/** A task that was sent to a backend server this many times is not placed again; its job is aborted instead. */
const maxPlacements = 8;
/** A task under which this many backend servers were lost is given up if nothing else explains the losses: it may crash whatever starts it. */
const maxLostServers = 2;

export function createTaskRunner(options: TaskRunnerOptions): TaskRunner {
	const {incarnation, timers, metrics, events, table} = options;
	const attempts = new Map<string, Attempt>();
	const serverLosses = createServerLosses({timers, findServer: table.findServer});
	let attemptCount = 0;

	function startTasks(server: BackendServerRecord, job: OpenJob, tasks: readonly OpenTask[]): void {
		const starts = tasks.map(task => addAttempt(server, task));
		job.hasStarted = true;
		metrics.increment('task-started', tasks.length);
		options.starter.start(server.announcement, {
			lease: `${server.managerId}.${incarnation}`,
			deadlineMs: Math.max(0, job.deadlineAtMs - timers.getNowMs()),
			tasks: starts,
		});
	}

	function addAttempt(server: BackendServerRecord, task: OpenTask): TaskStart {
		const id = `${incarnation}.${attemptCount++}`;
		attempts.set(id, {
			id,
			task,
			server,
			startedAtMs: timers.getNowMs(),
			isAbandoned: false,
			isHedge: task.attempts.size > 0,
		});
		task.attempts.add(id);
		task.state = 'running';
		task.startedAtMs = timers.getNowMs();
		task.placements++;
		server.busySlots++;
		return {
			attempt: id,
			job: task.job.id,
			index: task.index,
			service: task.job.service,
			payload: task.payload,
		};
	}

	function handleTaskEvent(event: TaskEvent): void {
		if (event.kind === 'answer') {
			handleAnswer(event.answer, event.backendServerId);
			return;
		}

		if (event.kind === 'connect-refused') {
			recordRefusal(event.attempts);
		}

		for (const id of event.attempts) {
			const attempt = takeAttempt(id, event.backendServerId);
			if (attempt !== undefined) {
				endWithoutAnswer(attempt, event.kind);
			}
		}
	}

	/** Comes before the tasks are placed again. Another incarnation may be in use by now, which has refused nothing. */
	function recordRefusal(ids: readonly string[]): void {
		const server = ids.map(id => attempts.get(id)?.server).find(found => found !== undefined);
		if (server !== undefined) {
			table.recordRefusal(server);
		}
	}

	function handleAnswer(answer: TaskAnswer, backendServerId: string): void {
		const attempt = takeAttempt(answer.attempt, backendServerId);
		if (attempt === undefined) {
			return;
		}

		if (answer.state === 'not-run') {
			handleNotRun(attempt);
		} else {
			table.markSeen(attempt.server);
			handleRun(attempt, answer);
		}

		options.onSlotFree(attempt.server);
	}

	/** Removes an attempt and frees its slot; returns undefined if no open attempt has this id on this backend server. */
	function takeAttempt(id: string, backendServerId: string): Attempt | undefined {
		const attempt = attempts.get(id);
		if (attempt?.server.id !== backendServerId) {
			const isDuplicate = isIssuedAttemptId(id, incarnation, attemptCount);
			metrics.increment(isDuplicate ? 'answer-discarded-doubled' : 'answer-discarded-unknown');
			return undefined;
		}

		attempts.delete(id);
		const {server, task} = attempt;
		server.busySlots--;
		addUsedResources(server, task.needs, -1);
		task.attempts.delete(id);
		table.refresh(server);
		return attempt;
	}

	function handleRun(attempt: Attempt, answer: Exclude<TaskAnswer, {state: 'not-run'}>): void {
		const {task, isAbandoned} = attempt;
		const durationMs = timers.getNowMs() - attempt.startedAtMs;
		addAttemptResult(attempt, answer.state, durationMs);
		if (answer.state === 'done') {
			options.estimator.addSample(task.job.service, durationMs);
			table.recordSuccess(attempt.server);
		} else {
			table.recordFailure(attempt.server, task.job.id);
		}

		if (isAbandoned || task.job.hasEnded || task.state !== 'running') {
			metrics.increment('answer-discarded-late');
			return;
		}

		task.runTimeMs += durationMs;
		if (answer.state === 'done') {
			completeTask(attempt, answer.result);
		} else {
			metrics.increment('task-error');
			handleTaskError(task, answer.message);
		}
	}

	function completeTask(attempt: Attempt, result: OpenTask['result']): void {
		const {task} = attempt;
		task.state = 'done';
		task.result = result;
		options.getRetryBudget(task.job.service).addSuccess();
		metrics.increment('task-done');
		if (attempt.isHedge) {
			metrics.increment('hedge-won');
		}

		stopAttempts([...task.attempts]);
		options.onDone(task);
	}

	function handleTaskError(task: OpenTask, message: string): void {
		task.mayHaveRun = true;
		if (task.attempts.size > 0) {
			return;
		}

		if (mayRetryIdempotent(task)) {
			requeueTask(task, 'retry-idempotent');
			return;
		}

		task.state = 'error';
		task.error = message;
		options.onFailed(task, 'task-error');
	}

	function endWithoutAnswer(attempt: Attempt, kind: 'connect-refused' | 'connection-lost'): void {
		const {task, isAbandoned} = attempt;
		if (kind === 'connect-refused') {
			// Nothing was sent. How often this is repeated is bounded by the block of the backend server and the job's deadline.
			task.placements--;
		}

		if (kind === 'connection-lost') {
			table.recordFailure(attempt.server, task.job.id);
			task.losses.push(serverLosses.addLoss(attempt.server, task.job.id));
		}

		addAttemptResult(attempt, kind === 'connect-refused' ? kind : 'lost', timers.getNowMs() - attempt.startedAtMs);
		if (isAbandoned || task.job.hasEnded || task.state !== 'running' || task.attempts.size > 0) {
			task.mayHaveRun ||= kind === 'connection-lost';
		} else if (kind === 'connect-refused') {
			retryPlacement(task, 'retry-connect-refused');
		} else {
			handleLostTask(attempt);
		}

		options.onSlotFree(attempt.server);
	}

	function handleLostTask({task, server}: Attempt): void {
		metrics.increment('task-lost');
		events.write('task-lost', {job: task.job.id, index: task.index, backendServer: server.id});
		task.mayHaveRun = true;
		if (getLostServerCount(task) >= maxLostServers) {
			metrics.increment('task-given-up');
			events.write('task-given-up', {task: `${task.job.id}/${task.index}`, runs: task.placements});
		} else if (mayRetryIdempotent(task)) {
			requeueTask(task, 'retry-idempotent');
			return;
		}

		task.state = 'lost';
		options.onFailed(task, 'task-lost');
	}

	/** Counts the backend servers that the task may have crashed. A loss that has another cause, as known now, counts no more. */
	function getLostServerCount(task: OpenTask): number {
		return task.lostServers + task.losses.filter(loss => serverLosses.mayHaveCaused(task.job.id, loss)).length;
	}

	function handleNotRun({task, server, isAbandoned}: Attempt): void {
		table.block(server);
		if (!isAbandoned && !task.job.hasEnded && task.state === 'running' && task.attempts.size === 0) {
			retryPlacement(task, 'retry-not-run');
		}
	}

	/** Requeues a task whose attempt did not start, unless it has been placed too often. */
	function retryPlacement(task: OpenTask, counter: 'retry-connect-refused' | 'retry-not-run'): void {
		if (task.placements < maxPlacements) {
			requeueTask(task, counter);
			return;
		}

		task.state = task.mayHaveRun ? 'lost' : 'not-run';
		options.onFailed(task, 'task-lost');
	}

	function mayRetryIdempotent(task: OpenTask): boolean {
		if (!task.job.idempotent) {
			metrics.increment('retry-denied-not-idempotent');
			return false;
		}

		if (task.placements >= maxPlacements || !options.getRetryBudget(task.job.service).takeRetry()) {
			metrics.increment('retry-denied-budget');
			return false;
		}

		return true;
	}

	function requeueTask(task: OpenTask, counter: 'retry-connect-refused' | 'retry-not-run' | 'retry-idempotent'): void {
		metrics.increment(counter);
		task.state = 'queued';
		options.onRequeued(task);
	}

	function addAttemptResult(attempt: Attempt, ending: 'done' | 'error' | 'lost' | 'connect-refused', durationMs: number): void {
		const {job} = attempt.task;
		options.ejection.addResult({
			backendServerId: attempt.server.id,
			pool: job.pool,
			jobId: job.id,
			ending,
			durationMs,
		});
	}

	function stopAttempts(ids: readonly string[]): void {
		const byServer = new Map<BackendServerRecord, string[]>();
		for (const id of ids) {
			const attempt = attempts.get(id);
			if (attempt === undefined) {
				continue;
			}

			attempt.isAbandoned = true;
			const stopped = byServer.get(attempt.server) ?? [];
			stopped.push(id);
			byServer.set(attempt.server, stopped);
		}

		for (const [server, stopped] of byServer) {
			metrics.increment('task-stopped', stopped.length);
			options.starter.stop(server.announcement, stopped);
		}
	}

	function handleServerRemoval(server: BackendServerRecord): void {
		const lost = [...attempts.values()].filter(attempt => attempt.server === server);
		for (const {id} of lost) {
			const attempt = takeAttempt(id, server.id);
			if (attempt !== undefined) {
				endWithoutAnswer(attempt, 'connection-lost');
			}
		}
	}

	return {
		startTasks,
		handleTaskEvent,
		stopJob(job) {
			stopAttempts(job.tasks.flatMap(task => [...task.attempts]));
		},
		getLostServerCount,
		handleServerRemoval,
		getRunningCount: () => attempts.size,
		getRunning: () => attempts.values(),
	};
}
