import type {WaitingJob} from './waiting-job.js';

/** The part of a waiting job that the estimate depends on. */
export type DistantJob = Pick<WaitingJob, 'waitingMillicores' | 'criticalPathMs'> & {
	/** The rack with the data of the job; undefined if the distance does not matter. */
	dataRack: string | undefined;
};

/** CPU that is expected to become free. */
export type CpuRelease = {
	atMs: number;
	cpuMillicores: number;
};

/** The load on the backend servers of a rack. */
export type RackLoad = {
	freeMillicores: number;
	/** The expected ends of the runs, in any order. */
	releases: readonly CpuRelease[];
};

/** What the distance to its data costs a job. */
export type DistanceEstimate = {
	/** How much longer than its critical path the job is expected to take. */
	delayMs: number;
	/** The factor on its run time. */
	runFactor: number;
};

/** Estimates which jobs run far from their data, and how long the others wait for places near it. */
export type DistanceEstimator = {
	/**
	 * Gets the estimate of a job.
	 * @param job - The job.
	 * @param farWaitMs - The expected wait for a place anywhere.
	 */
	getEstimate(job: DistantJob, farWaitMs: number): DistanceEstimate;
	/** Adds a job ahead of the jobs that are estimated after it. */
	addJob(job: DistantJob, estimate: DistanceEstimate): void;
};

/**
 * Creates the estimator, with one queue for each rack. A job runs far if it ends sooner that way than behind the jobs
 * ahead that want the same rack. This handles a rack that is wanted by more jobs than it can serve: a far run that would
 * be late is not promised.
 * @param nowMs - The current time.
 * @param remoteRunFactor - The factor on run times far from the data; undefined if it is not known.
 * @param getRackLoad - Gets the load on the backend servers of a rack.
 */
export function createDistanceEstimator(nowMs: number, remoteRunFactor: number | undefined, getRackLoad: (rack: string) => RackLoad): DistanceEstimator {
	const queues = new Map<string, CpuRelease[]>();

	function getQueue(rack: string): CpuRelease[] {
		const known = queues.get(rack);
		if (known !== undefined) {
			return known;
		}

		const {freeMillicores, releases} = getRackLoad(rack);
		const created = [{atMs: nowMs, cpuMillicores: freeMillicores}, ...releases.toSorted((left, right) => left.atMs - right.atMs)];
		queues.set(rack, created);
		return created;
	}

	return {
		getEstimate(job, farWaitMs) {
			const {dataRack, waitingMillicores, criticalPathMs} = job;
			if (remoteRunFactor === undefined || dataRack === undefined) {
				return {delayMs: farWaitMs, runFactor: 1};
			}

			const nearDelayMs = findStartMs(getQueue(dataRack), waitingMillicores) - nowMs;
			const farDelayMs = farWaitMs + ((remoteRunFactor - 1) * criticalPathMs);
			return nearDelayMs <= farDelayMs ? {delayMs: nearDelayMs, runFactor: 1} : {delayMs: farDelayMs, runFactor: remoteRunFactor};
		},
		addJob({dataRack, waitingMillicores, criticalPathMs}, {delayMs, runFactor}) {
			if (runFactor === 1 && remoteRunFactor !== undefined && dataRack !== undefined) {
				takeCapacity(getQueue(dataRack), waitingMillicores, nowMs + delayMs + criticalPathMs);
			}
		},
	};
}

/** Finds the time at which enough CPU has become free; infinite if the known releases do not suffice. */
function findStartMs(releases: readonly CpuRelease[], neededMillicores: number): number {
	let sum = 0;
	for (const {atMs, cpuMillicores} of releases) {
		sum += cpuMillicores;
		if (sum >= neededMillicores) {
			return atMs;
		}
	}

	return Number.POSITIVE_INFINITY;
}

/** Takes the CPU that becomes free first, and adds it again at the end of the run. */
function takeCapacity(releases: CpuRelease[], neededMillicores: number, endMs: number): void {
	let remaining = neededMillicores;
	while (remaining > 0 && releases.length > 0) {
		const first = releases[0]!;
		const taken = Math.min(remaining, first.cpuMillicores);
		remaining -= taken;
		if (taken === first.cpuMillicores) {
			releases.shift();
		} else {
			releases[0] = {...first, cpuMillicores: first.cpuMillicores - taken};
		}
	}

	const position = releases.findIndex(({atMs}) => atMs > endMs);
	releases.splice(position === -1 ? releases.length : position, 0, {atMs: endMs, cpuMillicores: neededMillicores - remaining});
}
