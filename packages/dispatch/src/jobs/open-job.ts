import type {
	FailureReason, Job, JobOutcome, RefusalCode, Task, TaskNeeds,
} from '@camphortack/core';
import type {QueuedTask} from '@camphortack/policy';
import type {ServerLoss} from '../tasks/server-losses.js';

/** The state of a task. `handed-over`: another daemon runs it. `not-run`: its last attempt did not run, and there is no other. */
export type OpenTaskState = 'queued' | 'running' | 'handed-over' | 'done' | 'error' | 'lost' | 'not-run';

/** A task of an open job. */
export type OpenTask = {
	readonly job: OpenJob;
	/** Index in `job.tasks`. */
	readonly position: number;
	/** Index in the job as the caller submitted it. */
	readonly index: number;
	readonly payload: Task['payload'];
	readonly needs: TaskNeeds | undefined;
	readonly declaredRunTimeMs: number;
	readonly queued: QueuedTask;
	state: OpenTaskState;
	/** The number of times the task was sent to a backend server. */
	placements: number;
	/** The number of backend servers that were lost while they ran the task, on the daemons it came from. */
	readonly lostServers: number;
	/** The backend servers that were lost while they ran the task on this daemon. */
	readonly losses: ServerLoss[];
	/** Whether an earlier attempt may have run the task. */
	mayHaveRun: boolean;
	/** The ids of the running attempts; two while the task is hedged. */
	readonly attempts: Set<string>;
	result: Task['payload'] | undefined;
	error: string | undefined;
	runTimeMs: number;
	/** When this daemon started the latest attempt. */
	startedAtMs?: number;
};

/** The outcome of a job and the run times of its tasks. */
export type JobEnd = {
	outcome: JobOutcome;
	/** How long a backend server was busy with each task, in the order of `job.tasks`. */
	runTimesMs: number[];
};

/** A job, or a part of a job handed over by another daemon, that has not ended. */
export type OpenJob = {
	/** Unique among the open jobs of this daemon. */
	readonly key: string;
	readonly id: string;
	readonly customer: string;
	readonly service: string;
	readonly pool: string;
	readonly idempotent: boolean;
	readonly arrivedAtMs: number;
	readonly deadlineAtMs: number;
	readonly tasks: OpenTask[];
	/** The number of times the job or part has been handed over. */
	readonly handovers: number;
	remainingTasks: number;
	hasStarted: boolean;
	hasEnded: boolean;
	readonly onEnd: (end: JobEnd) => void;
};

/** Why a job is aborted. `refusal`: the code to use instead if no task has started. */
export type AbortReason = {failure: FailureReason; refusal?: RefusalCode};

export type OpenJobOptions = {
	key: string;
	job: Job;
	/** For each task, its index in the job as the caller submitted it. */
	indexes?: readonly number[];
	/** For each task, how many backend servers were lost while they ran it. */
	lostServers?: readonly number[];
	pool: string;
	declaredRunTimeMs: number;
	getExpectedRunTimeMs: (declaredRunTimeMs: number) => number;
	nowMs: number;
	handovers?: number;
	onEnd: (end: JobEnd) => void;
};

/**
 * Creates an open job with all of its tasks in the state `queued`.
 * @param options - The submitted job and the properties of its service.
 */
export function createOpenJob(options: OpenJobOptions): OpenJob {
	const {job, nowMs} = options;
	const openJob: OpenJob = {
		key: options.key,
		id: job.id,
		customer: job.customer,
		service: job.service,
		pool: options.pool,
		idempotent: job.idempotent,
		arrivedAtMs: nowMs,
		deadlineAtMs: nowMs + job.deadlineMs,
		tasks: [],
		handovers: options.handovers ?? 0,
		remainingTasks: job.tasks.length,
		hasStarted: false,
		hasEnded: false,
		onEnd: options.onEnd,
	};
	for (const [position, task] of job.tasks.entries()) {
		openJob.tasks.push(createOpenTask(openJob, options, task, position));
	}

	return openJob;
}

function createOpenTask(job: OpenJob, options: OpenJobOptions, task: Task, position: number): OpenTask {
	const declaredRunTimeMs = task.declaredRunTimeMs ?? options.declaredRunTimeMs;
	return {
		job,
		position,
		index: options.indexes?.[position] ?? position,
		payload: task.payload,
		needs: task.needs,
		declaredRunTimeMs,
		queued: {
			jobId: job.key,
			index: position,
			customer: job.customer,
			service: job.service,
			pool: job.pool,
			sizeBytes: JSON.stringify(task.payload).length,
			needs: task.needs,
			expectedRunTimeMs: options.getExpectedRunTimeMs(declaredRunTimeMs),
			enqueuedAtMs: options.nowMs,
			deadlineAtMs: job.deadlineAtMs,
		},
		state: 'queued',
		placements: 0,
		lostServers: options.lostServers?.[position] ?? 0,
		losses: [],
		mayHaveRun: false,
		attempts: new Set(),
		result: undefined,
		error: undefined,
		runTimeMs: 0,
	};
}
