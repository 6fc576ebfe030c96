import type {RandomSource} from '@camphortack/core';
import type {JobRequest} from '../../src/index.js';

/** A kind of job of a load pattern. Widths, CPU and run times are spread around their means. */
export type JobKind = {
	name: string;
	/** The share of the jobs. */
	weight: number;
	/** What a job of mean work is worth to its caller. */
	worth: number;
	meanRunMs: number;
	meanTaskCount: number;
	maxTaskCount: number;
};

/** A job as it arrives, with what only the backend servers know: how long each task runs. */
export type PatternJob = {
	kind: JobKind;
	request: JobRequest;
	arrivesAtMs: number;
	taskDurationsMs: number[];
	/** The response time within which it is worth most. */
	objectiveMs: number;
	worth: number;
};

/** Additional jobs during part of a load pattern. */
export type LoadBurst = {
	/** The kinds that become more frequent; all of them if not set. */
	kindNames?: readonly string[];
	/** The rate of these kinds as a multiple of their usual rate. */
	factor: number;
	fromMs: number;
	toMs: number;
};

/** What a load pattern consists of. */
export type LoadPatternOptions = {
	kinds: readonly JobKind[];
	/** The mean CPU of a task. */
	meanMillicores?: number;
	/** The cores of all backend servers. */
	cores: number;
	/** The usual load as a multiple of all cores. */
	load: number;
	durationMs: number;
	bursts?: readonly LoadBurst[];
	random: RandomSource;
};

/** Wide short jobs, long jobs, and many small ones, in the shares of a deployment of hundreds of backend servers. */
export const mixedKinds: readonly JobKind[] = [
	{
		name: 'wide', weight: 309, worth: 0.003_23, meanRunMs: 60, meanTaskCount: 8, maxTaskCount: 32,
	},
	{
		name: 'long', weight: 56.2, worth: 0.0178, meanRunMs: 900, meanTaskCount: 4, maxTaskCount: 16,
	},
	{
		name: 'small', weight: 900, worth: 0.001_11, meanRunMs: 200, meanTaskCount: 2, maxTaskCount: 8,
	},
];

/** The same kinds in the shares and at the worth of a deployment of backend servers of 16 and 24 cores. */
export const smallServerKinds: readonly JobKind[] = [
	{...mixedKinds[0]!, weight: 144, worth: 0.004_85},
	{...mixedKinds[1]!, weight: 26, worth: 0.0267},
	{...mixedKinds[2]!, weight: 420, worth: 0.001_67},
];

const defaultMeanMillicores = 32_000;
const maxMillicoresFactor = 1.5;
const taskCountSpread = 0.4;
const cpuSpread = 0.2;
const runTimeSpread = 0.4;
const unevenness = 0.15;
const declaredSpread = 0.4;
const maxRunTimeFactor = 4;
const stretch = 1.6;
const slackMs = 60;
const millicoresPerCore = 1000;
const msPerSecond = 1000;
const baseWorthShare = 0.3;
const maxWorthFactor = 4;

/**
 * Draws the jobs of a load pattern.
 * @param options - The length, the load as a multiple of all cores, and the random source.
 */
export function createLoadPattern({kinds, meanMillicores = defaultMeanMillicores, cores, load, durationMs, bursts = [], random}: LoadPatternOptions): PatternJob[] {
	const totalWeight = kinds.reduce((sum, {weight}) => sum + weight, 0);
	const meanWork = kinds.reduce((sum, kind) => sum + (kind.weight / totalWeight * getMeanWork(kind, meanMillicores)), 0);
	const meanIntervalMs = msPerSecond * meanWork / (load * cores);
	const jobs: PatternJob[] = [];

	function addJobs(addedKinds: readonly JobKind[], {factor, fromMs, toMs}: LoadBurst): void {
		const weight = addedKinds.reduce((sum, kind) => sum + kind.weight, 0);
		let arrivesAtMs = fromMs;
		while (arrivesAtMs < toMs) {
			const kind = chooseKind(addedKinds, random.getFraction() * weight);
			jobs.push(createJob({
				kind, meanMillicores, number: jobs.length, arrivesAtMs, random,
			}));
			arrivesAtMs += -Math.log(1 - random.getFraction()) * meanIntervalMs * totalWeight / weight / factor;
		}
	}

	addJobs(kinds, {factor: 1, fromMs: 0, toMs: durationMs});
	for (const burst of bursts) {
		addJobs(kinds.filter(({name}) => burst.kindNames?.includes(name) ?? true), {...burst, factor: burst.factor - 1});
	}

	return jobs.toSorted((left, right) => left.arrivesAtMs - right.arrivesAtMs);
}

/**
 * Lets some tasks take longer than the others of their kind. The objective of their jobs follows; the declared run times do not.
 * @param jobs - The jobs.
 * @param longTasks - The share of the tasks, and the factor on their run time.
 * @param random - The random source.
 */
export function lengthenTasks(jobs: readonly PatternJob[], {share, factor}: {share: number; factor: number}, random: RandomSource): void {
	for (const job of jobs) {
		job.taskDurationsMs = job.taskDurationsMs.map(durationMs => durationMs * (random.getFraction() < share ? factor : 1));
		job.objectiveMs = (stretch * Math.max(...job.taskDurationsMs)) + slackMs;
	}
}

function chooseKind(kinds: readonly JobKind[], position: number): JobKind {
	let remaining = position;
	return kinds.find(({weight}) => {
		remaining -= weight;
		return remaining < 0;
	}) ?? kinds[0]!;
}

function createJob({kind, meanMillicores, number, arrivesAtMs, random}: {
	kind: JobKind; meanMillicores: number; number: number; arrivesAtMs: number; random: RandomSource;
}): PatternJob {
	const taskCount = Math.max(1, Math.round(Math.min(kind.maxTaskCount, getLogNormal(random, kind.meanTaskCount, taskCountSpread))));
	const cpuMillicores = Math.round(Math.min(meanMillicores * maxMillicoresFactor, getLogNormal(random, meanMillicores, cpuSpread)));
	const runMs = Math.min(kind.meanRunMs * maxRunTimeFactor, getLogNormal(random, kind.meanRunMs, runTimeSpread));
	const taskDurationsMs = Array.from({length: taskCount}, () => runMs * Math.max(0.3, 1 + (unevenness * getNormal(random))));
	const work = taskDurationsMs.reduce((sum, durationMs) => sum + durationMs, 0) * cpuMillicores / msPerSecond / millicoresPerCore;
	return {
		kind,
		arrivesAtMs,
		taskDurationsMs,
		objectiveMs: (stretch * Math.max(...taskDurationsMs)) + slackMs,
		worth: kind.worth * Math.min(maxWorthFactor, baseWorthShare + ((1 - baseWorthShare) * work / getMeanWork(kind, meanMillicores))),
		request: {
			jobId: `${kind.name}-${number}`,
			queueName: kind.name,
			service: 'quotes',
			payload: '',
			steps: [{
				taskCount, cpuMillicores, memoryMb: 64, gpuCount: 0, estimateMs: Math.round(getLogNormal(random, runMs, declaredSpread)), dependsOn: [],
			}],
			mostAttempts: 3,
			stretch,
			slackMs,
			ageMs: 0,
			callerTimeoutMs: 10_000,
		},
	};
}

/** The mean work of a kind in core-seconds. */
function getMeanWork({meanTaskCount, meanRunMs}: JobKind, meanMillicores: number): number {
	return meanTaskCount * meanRunMs / msPerSecond * meanMillicores / millicoresPerCore;
}

function getNormal(random: RandomSource): number {
	return Math.sqrt(-2 * Math.log(1 - random.getFraction())) * Math.cos(2 * Math.PI * random.getFraction());
}

function getLogNormal(random: RandomSource, mean: number, spread: number): number {
	const variance = Math.log(1 + (spread ** 2));
	return mean * Math.exp((getNormal(random) * Math.sqrt(variance)) - (variance / 2));
}
