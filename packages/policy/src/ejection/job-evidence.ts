import {LRUMap} from 'mnemonist';

/** Tells jobs that fail everywhere from backend servers that fail everything. */
export type JobEvidence = {
	addFailure(jobId: string, backendServerId: string): void;
	addSuccess(jobId: string): void;
	/** Whether a job has failed on several backend servers and succeeded nowhere. */
	isPoisonJob(jobId: string): boolean;
};

type JobRecord = {
	hasSucceeded: boolean;
	/** Holds at most as many names as make the job a poison job. */
	failedOn: Set<string>;
};

/** The jobs that are remembered; the one not seen for longest is forgotten first. */
const mostJobs = 4096;
/** A job that failed on this many backend servers and succeeded nowhere is a poison job. */
const poisonBackendServers = 3;

/** Creates a bounded memory of where jobs failed. */
export function createJobEvidence(): JobEvidence {
	const jobs = new LRUMap<string, JobRecord>(mostJobs);

	function getRecord(jobId: string): JobRecord {
		let record = jobs.get(jobId);
		if (record === undefined) {
			record = {hasSucceeded: false, failedOn: new Set()};
			jobs.set(jobId, record);
		}

		return record;
	}

	function addFailure(jobId: string, backendServerId: string): void {
		const {failedOn} = getRecord(jobId);
		if (failedOn.size < poisonBackendServers) {
			failedOn.add(backendServerId);
		}
	}

	function addSuccess(jobId: string): void {
		getRecord(jobId).hasSucceeded = true;
	}

	function isPoisonJob(jobId: string): boolean {
		const record = jobs.peek(jobId);
		return record !== undefined && !record.hasSucceeded && record.failedOn.size >= poisonBackendServers;
	}

	return {addFailure, addSuccess, isPoisonJob};
}
