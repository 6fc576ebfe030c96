import type {RandomSource} from '@camphortack/core';

/** A job of the bench with the true run time of each task. */
export type BenchJob = {
	id: string;
	arrivesAtMs: number;
	runTimesMs: number[];
	declaredRunTimeMs: number;
	customer: string;
};

export type WorkloadOptions = {
	random: RandomSource;
	/** The offered work, as a share of all slots. */
	load: number;
	slots: number;
	durationMs: number;
	/** The declared run time is wrong by up to this factor, both ways. */
	declaredErrorFactor?: number;
	/** For half a second of each five, this many times the load arrives. */
	burstFactor?: number;
};

const shortestTaskMs = 50;
const longestCommonTaskMs = 1000;
const longTaskRatio = 0.015;
const shortestLongTaskMs = 2000;
const longestLongTaskMs = 6000;
const mostTasks = 150;
const customerCount = 4;
const burstPeriodMs = 5000;
const burstLengthMs = 500;

/** The mean run time of a task: log-uniform from 50 ms to 1 s, and 1.5% uniform from 2 s to 6 s. */
export const meanTaskMs = ((1 - longTaskRatio) * (longestCommonTaskMs - shortestTaskMs) / Math.log(longestCommonTaskMs / shortestTaskMs))
	+ (longTaskRatio * (shortestLongTaskMs + longestLongTaskMs) / 2);

/** The mean number of tasks of a job: log-uniform from 1 to 150, rounded down. */
export const meanTasksPerJob = getMeanTasksPerJob();

/**
 * Creates the jobs of a run, in the order in which they arrive (a Poisson process).
 * @param options - The seed, the load and what is unusual.
 */
export function createWorkload(options: WorkloadOptions): BenchJob[] {
	const {random, load, slots, durationMs, burstFactor = 1} = options;
	const meanGapMs = meanTaskMs * meanTasksPerJob / (load * slots);
	const normalShare = (burstPeriodMs - burstLengthMs + (burstLengthMs * burstFactor)) / burstPeriodMs;
	const jobs: BenchJob[] = [];
	let nowMs = 0;
	while (nowMs < durationMs) {
		const isBurst = burstFactor > 1 && nowMs % burstPeriodMs < burstLengthMs;
		const gapMs = meanGapMs * normalShare / (isBurst ? burstFactor : 1);
		nowMs += -Math.log(1 - random.getFraction()) * gapMs;
		jobs.push(createJob(options, jobs.length, nowMs));
	}

	return jobs;
}

function createJob({random, declaredErrorFactor = 1}: WorkloadOptions, index: number, arrivesAtMs: number): BenchJob {
	const taskCount = Math.min(mostTasks, Math.floor(getLogUniform(random, 1, mostTasks + 1)));
	const runTimesMs = Array.from({length: taskCount}, () => createRunTimeMs(random));
	const error = declaredErrorFactor === 1 ? 1 : getLogUniform(random, 1 / declaredErrorFactor, declaredErrorFactor);
	return {
		id: `job-${index}`,
		arrivesAtMs,
		runTimesMs,
		declaredRunTimeMs: meanTaskMs * error,
		customer: `customer-${random.getInteger(0, customerCount - 1)}`,
	};
}

function createRunTimeMs(random: RandomSource): number {
	return random.getFraction() < longTaskRatio
		? shortestLongTaskMs + (random.getFraction() * (longestLongTaskMs - shortestLongTaskMs))
		: getLogUniform(random, shortestTaskMs, longestCommonTaskMs);
}

function getLogUniform(random: RandomSource, smallest: number, largest: number): number {
	return smallest * ((largest / smallest) ** random.getFraction());
}

function getMeanTasksPerJob(): number {
	let mean = 0;
	for (let count = 1; count <= mostTasks; count++) {
		mean += count * Math.log((count + 1) / count) / Math.log(mostTasks + 1);
	}

	return mean;
}
