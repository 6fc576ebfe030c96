import type {TaskNeeds} from '@camphortack/core';

/** A task that waits for a slot. */
export type QueuedTask = {
	jobId: string;
	index: number;
	customer: string;
	service: string;
	pool: string;
	sizeBytes: number;
	needs?: TaskNeeds;
	expectedRunTimeMs: number;
	enqueuedAtMs: number;
	deadlineAtMs: number;
};

/** The tasks of one pool that wait at one daemon. Deficit round robin over customers; inside one, by job. */
export type FairQueue = {
	/** Adds the tasks of one job, all or none. */
	addTasks(tasks: readonly QueuedTask[]): 'added' | 'queue-full';
	/** Puts back, at the front, a task that was taken and certainly did not start. */
	returnTask(task: QueuedTask): void;
	/** Takes the next task, or undefined if none fits. */
	takeTask(fits?: (task: QueuedTask) => boolean): QueuedTask | undefined;
	/** Removes what still waits of a job. */
	removeJob(jobId: string): QueuedTask[];
	/** Removes the tasks whose deadline has passed. */
	removeExpired(nowMs: number): QueuedTask[];
	getTaskCount(): number;
	getByteCount(): number;
	/** Gets when the task that has waited longest was added, or undefined if none waits. */
	findOldestEnqueuedAtMs(): number | undefined;
};
