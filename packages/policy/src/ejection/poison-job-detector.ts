import {LRUMap} from 'mnemonist';

/** Distinguishes jobs that fail on every backend server from backend servers that fail every job. */
export type PoisonJobDetector = {
	addFailure(jobId: string, backendServerId: string): void;
	addSuccess(jobId: string): void;
	/** Whether a job has failed on several backend servers without succeeding on any. */
	isPoisonJob(jobId: string): boolean;
};

type JobRecord = {
	hasSucceeded: boolean;
	/** Bounded by `poisonThreshold`. */
	failedServerIds: Set<string>;
};

/** The number of jobs tracked; the least recently used one is evicted first. */
const maxJobs = 4096;
/** A job that has failed on this many backend servers without succeeding on any is a poison job. */
const poisonThreshold = 3;

/** Creates a detector with bounded memory. */
export function createPoisonJobDetector(): PoisonJobDetector {
	const jobs = new LRUMap<string, JobRecord>(maxJobs);

	function getRecord(jobId: string): JobRecord {
		let record = jobs.get(jobId);
		if (record === undefined) {
			record = {hasSucceeded: false, failedServerIds: new Set()};
			jobs.set(jobId, record);
		}

		return record;
	}

	function addFailure(jobId: string, backendServerId: string): void {
		const {failedServerIds} = getRecord(jobId);
		if (failedServerIds.size < poisonThreshold) {
			failedServerIds.add(backendServerId);
		}
	}

	function addSuccess(jobId: string): void {
		getRecord(jobId).hasSucceeded = true;
	}

	function isPoisonJob(jobId: string): boolean {
		const record = jobs.peek(jobId);
		return record !== undefined && !record.hasSucceeded && record.failedServerIds.size >= poisonThreshold;
	}

	return {addFailure, addSuccess, isPoisonJob};
}
