import type {
	FailureReason, Job, JobOutcome, RefusalCode, Task, TaskNeeds,
} from '@camphortack/core';
import type {QueuedTask} from '@camphortack/policy';

/** Where a task stands. `handed-over`: another daemon runs it. */
export type OpenTaskState = 'queued' | 'running' | 'handed-over' | 'done' | 'error' | 'lost' | 'given-up';

/** A task of an open job. */
export type OpenTask = {
	readonly job: OpenJob;
	/** Its place in `job.tasks`. */
	readonly position: number;
	/** Its index in the submission of the caller. */
	readonly index: number;
	readonly payload: Task['payload'];
	readonly needs: TaskNeeds | undefined;
	readonly declaredRunTimeMs: number;
	readonly queued: QueuedTask;
	state: OpenTaskState;
	/** How often it was given to a backend server. */
	placements: number;
	/** Whether an earlier attempt ended in a way that does not tell whether it ran. */
	mayHaveRun: boolean;
	/** The attempts that run, two while it is hedged. */
	readonly attempts: Set<string>;
	result: Task['payload'] | undefined;
	error: string | undefined;
	runTimeMs: number;
	/** When its last attempt was started here. */
	startedAtMs?: number;
};

/** What a job's end tells besides its outcome. */
export type JobEnd = {
	outcome: JobOutcome;
	/** For each task, in the order of `job.tasks`, how long its backend server was busy with it. */
	runTimesMs: number[];
};

/** A job, or a part of one that another daemon handed over, that has not ended. */
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
	/** How often it has been handed over. */
	readonly handovers: number;
	remainingTasks: number;
	hasStarted: boolean;
	hasEnded: boolean;
	readonly onEnd: (end: JobEnd) => void;
};

/** Why a job is given up before all its tasks are done. */
export type AbortReason = {failure: FailureReason; refusal?: RefusalCode};

export type OpenJobOptions = {
	key: string;
	job: Job;
	/** The index in the submission of each task. */
	indexes?: readonly number[];
	pool: string;
	declaredRunTimeMs: number;
	getExpectedRunTimeMs: (declaredRunTimeMs: number) => number;
	nowMs: number;
	handovers?: number;
	onEnd: (end: JobEnd) => void;
};

/**
 * Creates an open job with all its tasks queued.
 * @param options - The submission and what is known of its service.
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
		mayHaveRun: false,
		attempts: new Set(),
		result: undefined,
		error: undefined,
		runTimeMs: 0,
	};
}
