import type {RandomSource} from '@camphortack/core';

/** A simulated job with the actual run time of each task. */
export type BenchJob = {
	id: string;
	arrivesAtMs: number;
	runTimesMs: number[];
	declaredRunTimeMs: number;
	customer: string;
};

export type WorkloadOptions = {
	random: RandomSource;
	/** The offered work as a fraction of the capacity of all slots. */
	load: number;
	slots: number;
	durationMs: number;
	/** The declared run time is too short or too long by up to this factor. */
	declaredErrorFactor?: number;
	/** The load is multiplied by this factor for 0.5 s of every 5 s; the mean load stays the same. */
	burstFactor?: number;
};

const minCommonTaskMs = 50;
const maxCommonTaskMs = 1000;
const longTaskRatio = 0.015;
const minLongTaskMs = 2000;
const maxLongTaskMs = 6000;
const maxTasksPerJob = 150;
const customerCount = 4;
const burstPeriodMs = 5000;
const burstDurationMs = 500;

/** The mean run time of a task: 98.5% are log-uniform from 50 ms to 1 s, and 1.5% uniform from 2 s to 6 s. */
export const meanTaskMs = ((1 - longTaskRatio) * (maxCommonTaskMs - minCommonTaskMs) / Math.log(maxCommonTaskMs / minCommonTaskMs))
	+ (longTaskRatio * (minLongTaskMs + maxLongTaskMs) / 2);

/** The mean number of tasks of a job: log-uniform from 1 to 150, rounded down. */
export const meanTasksPerJob = getMeanTasksPerJob();

/**
 * Creates the jobs of a run in order of arrival. Arrivals are a Poisson process.
 * @param options - The random source, the load, and deviations from the steady workload.
 */
export function createWorkload(options: WorkloadOptions): BenchJob[] {
	const {random, load, slots, durationMs, burstFactor = 1} = options;
	const meanGapMs = meanTaskMs * meanTasksPerJob / (load * slots);
	const gapScale = (burstPeriodMs - burstDurationMs + (burstDurationMs * burstFactor)) / burstPeriodMs;
	const jobs: BenchJob[] = [];
	let nowMs = 0;
	while (nowMs < durationMs) {
		const isBurst = burstFactor > 1 && nowMs % burstPeriodMs < burstDurationMs;
		const gapMs = meanGapMs * gapScale / (isBurst ? burstFactor : 1);
		nowMs += -Math.log(1 - random.getFraction()) * gapMs;
		jobs.push(createJob(options, jobs.length, nowMs));
	}

	return jobs;
}

function createJob({random, declaredErrorFactor = 1}: WorkloadOptions, index: number, arrivesAtMs: number): BenchJob {
	const taskCount = Math.min(maxTasksPerJob, Math.floor(sampleLogUniform(random, 1, maxTasksPerJob + 1)));
	const runTimesMs = Array.from({length: taskCount}, () => sampleRunTimeMs(random));
	const declarationError = declaredErrorFactor === 1 ? 1 : sampleLogUniform(random, 1 / declaredErrorFactor, declaredErrorFactor);
	return {
		id: `job-${index}`,
		arrivesAtMs,
		runTimesMs,
		declaredRunTimeMs: meanTaskMs * declarationError,
		customer: `customer-${random.getInteger(0, customerCount - 1)}`,
	};
}

function sampleRunTimeMs(random: RandomSource): number {
	return random.getFraction() < longTaskRatio
		? minLongTaskMs + (random.getFraction() * (maxLongTaskMs - minLongTaskMs))
		: sampleLogUniform(random, minCommonTaskMs, maxCommonTaskMs);
}

function sampleLogUniform(random: RandomSource, min: number, max: number): number {
	return min * ((max / min) ** random.getFraction());
}

function getMeanTasksPerJob(): number {
	let mean = 0;
	for (let count = 1; count <= maxTasksPerJob; count++) {
		mean += count * Math.log((count + 1) / count) / Math.log(maxTasksPerJob + 1);
	}

	return mean;
}
