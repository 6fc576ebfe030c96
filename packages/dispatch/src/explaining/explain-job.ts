import type {Job, RefusalCode} from '@camphortack/core';
import type {RunTimeEstimator} from '@camphortack/policy';
import type {PlacementRules} from '../configuration/placement-rules.js';
import type {PoolLoad} from '../messages/dispatch-messages.js';
import type {Capacity} from '../placement/get-shares.js';
import {getFreeSlots, type BackendServerRecord} from '../servers/backend-server-record.js';
import type {BackendServerTable} from '../servers/backend-server-table.js';
import {
	findServerExclusion, type ExplainedTask, type ServerChecks, type ServerExclusion,
} from './find-server-exclusion.js';

/** A backend server that takes the first task of the job now, or as soon as one of its tasks ends. */
export type ExplainedServer = {
	id: string;
	availabilityZone: string;
	freeSlots: number;
	/** The expected time until the task ends there, with the wait for a slot. */
	expectedCompletionMs: number;
	/** Why it takes no task at this moment. */
	exclusion?: ServerExclusion;
};

/** Where a job would go now, and why. */
export type JobExplanation = {
	/** The code with which it would be refused now. Limits are not checked, since a check would use them up. */
	refusal?: RefusalCode;
	pool?: string;
	expectedRunTimeMs?: number;
	/** The expected wait for a slot: 0 if a backend server takes the first task now; undefined if there is no candidate. */
	expectedWaitMs?: number;
	/** The tasks that wait for the pool on this daemon, and the slots of the pool that it may use. */
	queuedTasks: number;
	slots: number;
	/** The best backend servers, in the order in which the task would go there. */
	candidates: ExplainedServer[];
	/** The number of the other backend servers, by the reason that excludes them. */
	excluded: Partial<Record<ServerExclusion, number>>;
	/** The daemons to which tasks could be handed over, with the free slots less the tasks that wait there. */
	partners: Capacity[];
};

export type JobExplanationSources = ServerChecks & {
	rules: PlacementRules | undefined;
	table: Pick<BackendServerTable, 'getAll' | 'getAvailable' | 'isSuspect'>;
	estimator: Pick<RunTimeEstimator, 'getExpectedRunTimeMs'>;
	findRefusal: (job: Job) => RefusalCode | undefined;
	getLoad: (pool: string) => PoolLoad;
	getCapacities: (pool: string, ownLoad: PoolLoad) => Capacity[];
};

const maxCandidates = 5;
/** Reasons that pass as tasks end, so that a task can wait for the backend server. */
const passingExclusions: ReadonlySet<ServerExclusion | undefined> = new Set(['no-free-slot', 'no-free-resources', 'on-trial', undefined]);

/**
 * Explains where the first task of a job would go now, by the checks that admission and placement use. It changes nothing.
 * @param job - The job.
 * @param sources - The state of the daemon.
 *
 * @example
 * ```ts
 * explainJob(job, sources).candidates[0]?.id; // 'server-2'
 * ```
 */
export function explainJob(job: Job, sources: JobExplanationSources): JobExplanation {
	const {rules} = sources;
	const refusal = sources.findRefusal(job);
	const service = rules?.findService(job.service);
	if (rules === undefined || service === undefined) {
		return {
			refusal, queuedTasks: 0, slots: 0, candidates: [], excluded: {}, partners: [],
		};
	}

	const pool = rules.getPoolName(job.service, job.customer);
	const task = {pool, service: job.service, needs: job.tasks[0]?.needs};
	const declaredRunTimeMs = job.tasks[0]?.declaredRunTimeMs ?? service.declaredRunTimeMs;
	const expectedRunTimeMs = sources.estimator.getExpectedRunTimeMs(job.service, declaredRunTimeMs);
	const load = sources.getLoad(pool);
	const waitMs = load.slots === 0 ? undefined : expectedRunTimeMs * (load.queuedTasks + 1) / load.slots;
	const candidates = getCandidates(task, sources, expectedRunTimeMs, waitMs);
	return {
		refusal,
		pool,
		expectedRunTimeMs,
		expectedWaitMs: getWaitMs(candidates, waitMs),
		queuedTasks: load.queuedTasks,
		slots: load.slots,
		candidates: candidates.slice(0, maxCandidates),
		excluded: countExclusions(task, sources),
		partners: sources.getCapacities(pool, load),
	};
}

/** Gets the candidates that are free now in the order of placement, then those for which the task would wait. */
function getCandidates(task: ExplainedTask, sources: JobExplanationSources, runTimeMs: number, waitMs: number | undefined): ExplainedServer[] {
	const available = [...sources.table.getAvailable(task.pool)];
	const others = [...sources.table.getAll()].filter(server => !available.includes(server));
	const candidates: ExplainedServer[] = [];
	for (const server of [...available, ...others]) {
		const exclusion = findServerExclusion(server, task, sources);
		if (passingExclusions.has(exclusion)) {
			candidates.push(createCandidate(server, exclusion, runTimeMs + (exclusion === undefined ? 0 : waitMs ?? 0)));
		}
	}

	return candidates.toSorted((left, right) => left.expectedCompletionMs - right.expectedCompletionMs);
}

function getWaitMs(candidates: readonly ExplainedServer[], waitMs: number | undefined): number | undefined {
	if (candidates.some(({exclusion}) => exclusion === undefined)) {
		return 0;
	}

	return candidates.length === 0 ? undefined : waitMs;
}

function createCandidate(server: BackendServerRecord, exclusion: ServerExclusion | undefined, expectedCompletionMs: number): ExplainedServer {
	return {
		id: server.id,
		availabilityZone: server.announcement.availabilityZone,
		freeSlots: getFreeSlots(server),
		expectedCompletionMs: Math.round(expectedCompletionMs),
		...(exclusion !== undefined && {exclusion}),
	};
}

function countExclusions(task: ExplainedTask, sources: JobExplanationSources): Partial<Record<ServerExclusion, number>> {
	const counts: Partial<Record<ServerExclusion, number>> = {};
	for (const server of sources.table.getAll()) {
		const exclusion = findServerExclusion(server, task, sources);
		if (exclusion !== undefined) {
			counts[exclusion] = (counts[exclusion] ?? 0) + 1;
		}
	}

	return counts;
}
