import type {RefusalCode} from '@camphortack/core';

/** What a job asks of the declared limits. */
export type LimitRequest = {
	jobId: string;
	customer: string;
	service: string;
	pool: string;
	taskCount: number;
	expectedWorkerSeconds: number;
};

export type LimitDecision = {isAdmitted: true} | {isAdmitted: false; code: RefusalCode; retryAfterMs: number};

/** The shares of the declared limits that this daemon holds under leases. */
export type LimitBook = {
	/** Takes the job's use out of every limit that applies, all or none. */
	admitJob(request: LimitRequest): LimitDecision;
	/** Gives back what a task that ended no longer holds, and charges what it really used. */
	addTaskEnd(jobId: string, usedWorkerSeconds: number): void;
	/** Gives back what a task that never started held. */
	addTaskNotRun(jobId: string): void;
	/** Gives back what is left of a job. */
	closeJob(jobId: string): void;
};
