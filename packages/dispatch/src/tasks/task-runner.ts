import type {
	MetricSink, TaskAnswer, TaskStart, TimerService, EventLog,
} from '@camphortack/core';
import type {EjectionTracker, RetryBudget, RunTimeEstimator} from '@camphortack/policy';
import type {TaskEvent, TaskStarter} from '../dispatcher/task-starter.js';
import type {OpenJob, OpenTask} from '../jobs/open-job.js';
import type {BackendServerTable} from '../servers/backend-server-table.js';
import {addUsedResources, type BackendServerRecord} from '../servers/backend-server-record.js';
import {isIssuedAttemptId, type Attempt} from './attempt.js';

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
	/** Puts a task back that may be placed again. */
	onRequeued: (task: OpenTask) => void;
	onDone: (task: OpenTask) => void;
	onFailed: (task: OpenTask, reason: 'task-error' | 'task-lost') => void;
	/** Called when a slot fell free. */
	onSlotFree: (server: BackendServerRecord) => void;
};

/** Runs tasks on backend servers: attempts, their ends, retries. */
export type TaskRunner = {
	/** Starts tasks of one job on one backend server, in one message. What they need has been taken already. */
	startTasks(server: BackendServerRecord, job: OpenJob, tasks: readonly OpenTask[]): void;
	handleTaskEvent(event: TaskEvent): void;
	/** Stops the running tasks of a job that was given up: one message for each backend server. */
	stopJob(job: OpenJob): void;
	/** Drops what runs on a backend server that is gone. */
	handleServerRemoval(server: BackendServerRecord): void;
	getRunningCount(): number;
	getRunning(): Iterable<Attempt>;
};

/** How often a task that did not start is placed again before its job is given up. */
const mostPlacements = 8;

/**
 * Creates the task runner.
 * @param options - Ports, policies and callbacks.
 */
export function createTaskRunner(options: TaskRunnerOptions): TaskRunner {
	const {incarnation, timers, metrics, events, table} = options;
	const attempts = new Map<string, Attempt>();
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

		const server = table.findServer(event.backendServerId);
		for (const id of event.attempts) {
			const attempt = takeAttempt(id, event.backendServerId);
			if (attempt !== undefined) {
				endWithoutAnswer(attempt, event.kind);
			}
		}

		if (server !== undefined && event.kind === 'connect-refused') {
			table.block(server);
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

	/** Removes an attempt and frees its slot; undefined if the answer belongs to none. */
	function takeAttempt(id: string, backendServerId: string): Attempt | undefined {
		const attempt = attempts.get(id);
		if (attempt?.server.id !== backendServerId) {
			const isDoubled = isIssuedAttemptId(id, incarnation, attemptCount);
			metrics.increment(isDoubled ? 'answer-discarded-doubled' : 'answer-discarded-unknown');
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
		addEvidence(attempt, answer.state, durationMs);
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
			endDone(attempt, answer.result);
		} else {
			metrics.increment('task-error');
			endError(task, answer.message);
		}
	}

	function endDone(attempt: Attempt, result: OpenTask['result']): void {
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

	function endError(task: OpenTask, message: string): void {
		task.mayHaveRun = true;
		if (task.attempts.size > 0) {
			return;
		}

		if (mayRetryIdempotent(task)) {
			returnTask(task, 'retry-idempotent');
			return;
		}

		task.state = 'error';
		task.error = message;
		options.onFailed(task, 'task-error');
	}

	function endWithoutAnswer(attempt: Attempt, kind: 'connect-refused' | 'connection-lost'): void {
		const {task, isAbandoned} = attempt;
		if (kind === 'connection-lost') {
			table.recordFailure(attempt.server, task.job.id);
		}

		addEvidence(attempt, kind === 'connect-refused' ? kind : 'lost', timers.getNowMs() - attempt.startedAtMs);
		if (isAbandoned || task.job.hasEnded || task.state !== 'running' || task.attempts.size > 0) {
			task.mayHaveRun ||= kind === 'connection-lost';
		} else if (kind === 'connect-refused') {
			placeAgain(task, 'retry-connect-refused');
		} else {
			endLost(attempt);
		}

		options.onSlotFree(attempt.server);
	}

	function endLost({task, server}: Attempt): void {
		metrics.increment('task-lost');
		events.write('task-lost', {job: task.job.id, index: task.index, backendServer: server.id});
		task.mayHaveRun = true;
		if (mayRetryIdempotent(task)) {
			returnTask(task, 'retry-idempotent');
			return;
		}

		task.state = 'lost';
		options.onFailed(task, 'task-lost');
	}

	function handleNotRun({task, server, isAbandoned}: Attempt): void {
		table.block(server);
		if (!isAbandoned && !task.job.hasEnded && task.state === 'running' && task.attempts.size === 0) {
			placeAgain(task, 'retry-not-run');
		}
	}

	/** Places a task again that certainly did not start. */
	function placeAgain(task: OpenTask, counter: 'retry-connect-refused' | 'retry-not-run'): void {
		if (task.placements < mostPlacements) {
			returnTask(task, counter);
			return;
		}

		task.state = task.mayHaveRun ? 'lost' : 'given-up';
		options.onFailed(task, 'task-lost');
	}

	function mayRetryIdempotent(task: OpenTask): boolean {
		if (!task.job.idempotent) {
			metrics.increment('retry-denied-not-idempotent');
			return false;
		}

		if (task.placements >= mostPlacements || !options.getRetryBudget(task.job.service).takeRetry()) {
			metrics.increment('retry-denied-budget');
			return false;
		}

		return true;
	}

	function returnTask(task: OpenTask, counter: 'retry-connect-refused' | 'retry-not-run' | 'retry-idempotent'): void {
		metrics.increment(counter);
		task.state = 'queued';
		options.onRequeued(task);
	}

	function addEvidence(attempt: Attempt, ending: 'done' | 'error' | 'lost' | 'connect-refused', durationMs: number): void {
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
		handleServerRemoval,
		getRunningCount: () => attempts.size,
		getRunning: () => attempts.values(),
	};
}
