import type {TimerSubscription} from '@camphortack/core';
import type {JobOutcome, JobRequest} from '@camphortack/placement';
import type {PlacerView} from '../election/placer-view.js';
import type {JobSubmissions} from './job-submissions.js';

/** A job as the callers' server submits it. */
export type EntryJob = Omit<JobRequest, 'ageMs'>;

/** A job whose callers wait at this daemon. */
export type OpenJob = {
	readonly job: EntryJob;
	submissionId: string;
	/** The shard to whose placer the job is submitted. */
	shard: string;
	/** Whether the job was forwarded to another shard. */
	wasForwarded: boolean;
	/** The shards that the job was forwarded to because an availability zone is evacuated. */
	readonly divertedTo: Set<string>;
	readonly arrivedAtMs: number;
	readonly callers: Set<(result: JobOutcome) => void>;
	/** The placer to which the job was last submitted. */
	submittedTo: PlacerView | undefined;
	/** The submissions to placers that may have started tasks. */
	readonly submissions: JobSubmissions;
	generation: number;
	waitTimer: TimerSubscription | undefined;
};
