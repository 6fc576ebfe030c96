import {createSeededRandomSource} from '@camphortack/core';
import {createTestPlacer, type TestPlacer} from './create-test-placer.js';
import {
	createLoadPattern, lengthenTasks, mixedKinds, smallServerKinds, type LoadPatternOptions, type PatternJob,
} from './load-pattern.js';
import {
	addDataRacks, getRackRunFactor, setRacks, type RackOptions,
} from './rack-layout.js';
import {runFor} from './run-for.js';

/** A trouble that begins, or ends, while a load is replayed. */
export type ReplayStep = {
	atMs: number;
	/** Changes the fleet or the placers; `openJobs` have arrived and have no result. */
	apply: (test: TestPlacer, openJobs: readonly PatternJob[]) => void;
};

/** The backend servers, and the kinds of jobs that they serve. */
export type ReplayFleet = Pick<LoadPatternOptions, 'kinds' | 'meanMillicores'> & {
	serverCount: number;
	cpuMillicores: number;
	/** Every third backend server is larger than the others. */
	largeServerMillicores: number;
};

export type ReplayOptions = Pick<LoadPatternOptions, 'load' | 'bursts'> & {
	fleet?: ReplayFleet;
	/** Whether the caller of a refused job submits it once more, as a new job, after the Retry-After. */
	doCallersReturn?: boolean;
	seed?: number;
	durationMs?: number;
	steps?: readonly ReplayStep[];
	/** Without it, all backend servers stand in one rack and no job states where its data is. */
	racks?: RackOptions;
	/** Tasks that take longer than the others of their kind: their share, and the factor on their run time. The load stays the same. */
	longTasks?: {share: number; factor: number};
	/** The jobs of which one task crashes each backend server that starts it: their kind, their share, and when they arrive. */
	deadlyJobs?: {kindName: string; share: number; fromMs: number; toMs: number};
};

/** How callers were served. Shares are of worth. */
export type ReplayResult = {
	/** Worth of the jobs in time, and a fifth of that of late ones, of all. */
	earnedShare: number;
	earnedShareByKind: Record<string, number>;
	/** Jobs that completed in time, of all. */
	servedShare: number;
	/** The mean response time of the completed jobs. */
	meanResponseMs: number;
	/** Jobs by outcome. */
	outcomes: Record<string, number>;
	/** Runs of tasks beyond one for each. */
	repeatedRuns: number;
	jobs: readonly PatternJob[];
	/** The second attempts of refused jobs, at the time of the return. */
	returnedJobs: readonly PatternJob[];
	test: TestPlacer;
	startedAtMs: number;
};

/** One of four availability zones of a deployment of backend servers that hold about two tasks. */
export const smallServerFleet: ReplayFleet = {
	kinds: smallServerKinds, meanMillicores: 8000, serverCount: 62, cpuMillicores: 16_000, largeServerMillicores: 24_000,
};

const defaultFleet: ReplayFleet = {
	kinds: mixedKinds, meanMillicores: 32_000, serverCount: 76, cpuMillicores: 64_000, largeServerMillicores: 96_000,
};
const dataRackSeedOffset = 1000;
const longTaskSeedOffset = 2000;
const deadlyJobSeedOffset = 3000;
/** When the replay starts: the placer has claimed all backend servers. */
export const claimMs = 50;
const drainMs = 2000;
const stepMs = 2;
const callerLinkMs = 6;
const lateShare = 0.2;
const lateFactor = 3;
const millicoresPerCore = 1000;

/**
 * Replays a load on one zone of a large deployment in virtual time and measures how callers are served.
 * @param options - The load and the troubles.
 */
export async function replayLoad(options: ReplayOptions): Promise<ReplayResult> {
	const {load, bursts, fleet = defaultFleet, doCallersReturn = false, seed = 1, durationMs = 4000, steps = [], racks, longTasks, deadlyJobs} = options;
	const random = createSeededRandomSource(seed);
	const durations = new Map<string, number>();
	const millicores = new Map<string, number>();
	const dataRacks = new Map<string, string>();
	const deadlyTaskNames = new Set<string>();
	const test = createTestPlacer({
		serverCount: fleet.serverCount,
		cpuMillicores: fleet.cpuMillicores,
		getDurationMs: taskName => durations.get(taskName)!,
		getMillicores: taskName => millicores.get(taskName)!,
		isDeadly: taskName => deadlyTaskNames.has(taskName),
		getRunFactor: (taskName, server) => (racks === undefined ? 1 : getRackRunFactor(racks, server, dataRacks.get(taskName))),
		remoteRunFactor: racks?.isFactorKnown ? racks.remoteFactor : undefined,
	});
	for (const [position, server] of test.fleet.servers.entries()) {
		server.description.cpuMillicores = position % 3 === 2 ? fleet.largeServerMillicores : server.description.cpuMillicores;
	}

	if (racks !== undefined) {
		setRacks(racks, test.fleet.servers);
	}

	test.placer.setServers(test.fleet.getDescriptions(), 0);
	await runFor(test.timers, claimMs);
	const cores = test.fleet.getDescriptions().reduce((sum, {cpuMillicores}) => sum + (cpuMillicores / millicoresPerCore), 0);
	const jobs = createLoadPattern({
		kinds: fleet.kinds,
		meanMillicores: fleet.meanMillicores,
		cores,
		load: longTasks === undefined ? load : load / (1 + (longTasks.share * (longTasks.factor - 1))),
		bursts,
		durationMs,
		random,
	});
	if (longTasks !== undefined) {
		lengthenTasks(jobs, longTasks, createSeededRandomSource(seed + longTaskSeedOffset));
	}

	if (deadlyJobs !== undefined) {
		const deadlyRandom = createSeededRandomSource(seed + deadlyJobSeedOffset);
		const candidates = jobs.filter(({kind, arrivesAtMs}) => kind.name === deadlyJobs.kindName && arrivesAtMs >= deadlyJobs.fromMs && arrivesAtMs < deadlyJobs.toMs);
		for (const {request} of candidates.filter(() => deadlyRandom.getFraction() < deadlyJobs.share)) {
			deadlyTaskNames.add(`${request.jobId}.0.0.0`);
		}
	}

	if (racks !== undefined) {
		addDataRacks(racks, jobs, createSeededRandomSource(seed + dataRackSeedOffset));
	}

	function addTasks({request, taskDurationsMs}: PatternJob): void {
		for (const [index, taskDurationMs] of taskDurationsMs.entries()) {
			dataRacks.set(`${request.jobId}.0.0.${index}`, request.steps[0]!.dataRack ?? '');
			durations.set(`${request.jobId}.0.0.${index}`, taskDurationMs);
			millicores.set(`${request.jobId}.0.0.${index}`, request.steps[0]!.cpuMillicores);
		}
	}

	for (const job of jobs) {
		addTasks(job);
	}

	const startedAtMs = test.timers.getNowMs();
	const returnedJobs: PatternJob[] = [];
	if (doCallersReturn) {
		const jobsById = new Map(jobs.map(job => [job.request.jobId, job]));
		test.onResult = (jobId, result) => {
			const job = jobsById.get(jobId);
			if (job !== undefined && result.outcome === 'refused') {
				const arrivesAtMs = test.timers.getNowMs() - startedAtMs + result.retryAfterMs;
				const returned = {...job, arrivesAtMs, request: {...job.request, jobId: `${jobId}-again`}};
				addTasks(returned);
				returnedJobs.push(returned);
				test.timers.addTimer(result.retryAfterMs, () => {
					test.submit(returned.request);
				});
			}
		};
	}

	await submitJobs(test, jobs, steps);
	await runFor(test.timers, drainMs, stepMs);
	return {...getResult(test, jobs, startedAtMs), returnedJobs};
}

async function submitJobs(test: TestPlacer, jobs: readonly PatternJob[], steps: readonly ReplayStep[]): Promise<void> {
	const startedAtMs = test.timers.getNowMs();
	const remainingSteps = steps.toSorted((left, right) => left.atMs - right.atMs);
	for (const [position, {request, arrivesAtMs}] of jobs.entries()) {
		while (remainingSteps[0] !== undefined && remainingSteps[0].atMs <= arrivesAtMs) {
			const step = remainingSteps.shift()!;
			// eslint-disable-next-line no-await-in-loop -- Steps and jobs follow each other in time.
			await runFor(test.timers, startedAtMs + step.atMs - test.timers.getNowMs(), stepMs);
			step.apply(test, jobs.slice(0, position).filter(job => !test.results.has(job.request.jobId)));
		}

		// eslint-disable-next-line no-await-in-loop -- Steps and jobs follow each other in time.
		await runFor(test.timers, startedAtMs + arrivesAtMs - test.timers.getNowMs(), stepMs);
		test.submit(request);
	}
}

function getResult(test: TestPlacer, jobs: readonly PatternJob[], startedAtMs: number): Omit<ReplayResult, 'returnedJobs'> {
	const owed: Record<string, number> = {};
	const earned: Record<string, number> = {};
	const outcomes: Record<string, number> = {};
	for (const job of jobs) {
		const {kind: {name}, worth, request: {jobId}} = job;
		const outcome = test.results.get(jobId)?.outcome ?? 'none';
		outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
		owed[name] = (owed[name] ?? 0) + worth;
		earned[name] = (earned[name] ?? 0) + (worth * getServedShare(test, job, startedAtMs));
	}

	const taskCount = jobs.reduce((sum, {taskDurationsMs}) => sum + taskDurationsMs.length, 0);
	return {
		earnedShare: getSum(earned) / getSum(owed),
		earnedShareByKind: Object.fromEntries(Object.keys(owed).map(name => [name, earned[name]! / owed[name]!])),
		...getResponses(test, jobs, startedAtMs),
		outcomes,
		repeatedRuns: Math.max(0, test.fleet.records.length - taskCount),
		jobs,
		test,
		startedAtMs,
	};
}

function getResponses({results, endedAtMs}: TestPlacer, jobs: readonly PatternJob[], startedAtMs: number): {servedShare: number; meanResponseMs: number} {
	let servedCount = 0;
	const responsesMs: number[] = [];
	for (const {request: {jobId}, arrivesAtMs, objectiveMs} of jobs) {
		if (results.get(jobId)?.outcome === 'completed') {
			const responseMs = endedAtMs.get(jobId)! - startedAtMs - arrivesAtMs + callerLinkMs;
			responsesMs.push(responseMs);
			servedCount += responseMs <= objectiveMs ? 1 : 0;
		}
	}

	return {
		servedShare: servedCount / jobs.length,
		meanResponseMs: responsesMs.reduce((sum, responseMs) => sum + responseMs, 0) / Math.max(1, responsesMs.length),
	};
}

/** Gets the share of a job's worth that its response is worth to the caller. */
export function getServedShare({results, endedAtMs}: TestPlacer, {request: {jobId}, arrivesAtMs, objectiveMs}: PatternJob, startedAtMs: number): number {
	const responseMs = (endedAtMs.get(jobId) ?? Number.POSITIVE_INFINITY) - startedAtMs - arrivesAtMs + callerLinkMs;
	if (results.get(jobId)?.outcome !== 'completed' || responseMs > objectiveMs * lateFactor) {
		return 0;
	}

	return responseMs <= objectiveMs ? 1 : lateShare;
}

function getSum(values: Record<string, number>): number {
	return Object.values(values).reduce((sum, value) => sum + value, 0);
}
