import type {TaskNeeds} from '@camphortack/core';

/** A task waiting for a slot. */
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
