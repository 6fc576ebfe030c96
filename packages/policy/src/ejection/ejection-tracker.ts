import type {
	EventLog, MetricSink, RandomSource, TimerService,
} from '@camphortack/core';
import {createDecayingRatio, type DecayingRatio} from '../utils/decaying-ratio.js';
import {createJobEvidence} from './job-evidence.js';

/** How one attempt ended, as evidence for or against its backend server. */
export type AttemptResult = {
	backendServerId: string;
	pool: string;
	jobId: string;
	ending: 'done' | 'error' | 'lost' | 'connect-refused';
	durationMs: number;
};

/** Decides which backend servers get no work because they fail what they start. */
export type EjectionTracker = {
	addResult(evidence: AttemptResult): void;
	/**
	 * Whether a task may start there now; for an ejected one true once a trial is due, and only for that trial.
	 * Ask right before the start: a true answer takes the trial.
	 */
	mayStart(backendServerId: string): boolean;
	isEjected(backendServerId: string): boolean;
	/** Sets the size of a pool, which bounds how many may be ejected. */
	setPoolSize(pool: string, backendServerCount: number, largestEjectedShare: number): void;
	removeBackendServer(backendServerId: string): void;
};

export type EjectionTrackerOptions = {
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	events: EventLog;
};

type Ejection = {
	trialDueAtMs: number;
	probationMs: number;
	trialStartedAtMs?: number;
};

type ServerState = {
	readonly id: string;
	readonly pool: string;
	ratio: DecayingRatio;
	/** When each job last failed here since the last success; the oldest first. */
	readonly failedJobs: Map<string, number>;
	ejection?: Ejection;
	lastProbationMs: number;
	readmittedAtMs: number;
};

type PoolState = {
	readonly ratio: DecayingRatio;
	readonly ejected: Set<ServerState>;
	mostEjected: number;
};

const halfLifeMs = 10_000;
/** Failures of this many jobs, none a poison job, are needed to eject a backend server. */
const fewestFailedJobs = 3;
const mostRememberedJobs = 16;
const evidenceLifetimeMs = 30_000;
/** The share of attempts that must fail. */
const leastFailureRatio = 0.5;
/** The backend server must fail this many times as often as the rest of its pool. */
const leastRatioToRest = 2;
const firstProbationMs = 5000;
const longestProbationMs = 300_000;
const probationGrowth = 2;
/** Probations are lengthened by up to this share, so that trials of a rack do not fall together. */
const probationJitter = 0.2;
/** A trial whose task reports nothing for this long is given up. */
const trialTimeoutMs = 60_000;
/** After this time without an ejection the next probation is a first one again. */
const forgivenAfterMs = 600_000;
/** Keeps a product such as 0.3 of 10 from falling below its whole number by rounding. */
const roundingTolerance = 1e-9;

/**
 * Creates a tracker that ejects backend servers on evidence across different jobs.
 *
 * @example
 * ```ts
 * const ejection = createEjectionTracker({timers, random, metrics, events});
 * ejection.setPoolSize('walnut', 30, 0.3);
 * ejection.addEvidence({backendServerId: 'b1', pool: 'walnut', jobId: 'j1', ending: 'error', durationMs: 2});
 * ejection.mayStart('b1');
 * ```
 */
export function createEjectionTracker({timers, random, metrics, events}: EjectionTrackerOptions): EjectionTracker {
	const servers = new Map<string, ServerState>();
	const pools = new Map<string, PoolState>();
	const jobEvidence = createJobEvidence();

	function getPool(name: string): PoolState {
		let pool = pools.get(name);
		if (pool === undefined) {
			pool = {ratio: createDecayingRatio(halfLifeMs), ejected: new Set(), mostEjected: 0};
			pools.set(name, pool);
		}

		return pool;
	}

	function getServer(id: string, pool: string): ServerState {
		let server = servers.get(id);
		if (server === undefined) {
			server = {
				id,
				pool,
				ratio: createDecayingRatio(halfLifeMs),
				failedJobs: new Map(),
				lastProbationMs: 0,
				readmittedAtMs: 0,
			};
			servers.set(id, server);
		}

		return server;
	}

	function addEvidence(evidence: AttemptResult): void {
		const server = getServer(evidence.backendServerId, evidence.pool);
		const isFailure = evidence.ending !== 'done';
		if (isFailure) {
			jobEvidence.addFailure(evidence.jobId, server.id);
		} else {
			jobEvidence.addSuccess(evidence.jobId);
		}

		if (server.ejection === undefined) {
			judgeAttempt(server, evidence, isFailure);
		} else {
			judgeTrial(server, server.ejection, evidence);
		}
	}

	function judgeAttempt(server: ServerState, evidence: AttemptResult, isFailure: boolean): void {
		const nowMs = timers.getNowMs();
		server.ratio.add(isFailure, nowMs);
		getPool(server.pool).ratio.add(isFailure, nowMs);
		if (!isFailure) {
			server.failedJobs.clear();
			return;
		}

		addFailedJob(server, evidence.jobId, nowMs);
		if (isGuilty(server, nowMs)) {
			eject(server, nowMs);
		}
	}

	function addFailedJob(server: ServerState, jobId: string, nowMs: number): void {
		const {failedJobs} = server;
		failedJobs.delete(jobId);
		failedJobs.set(jobId, nowMs);
		for (const [oldestJobId, failedAtMs] of failedJobs) {
			if (failedJobs.size <= mostRememberedJobs && failedAtMs > nowMs - evidenceLifetimeMs) {
				break;
			}

			failedJobs.delete(oldestJobId);
		}
	}

	function isGuilty(server: ServerState, nowMs: number): boolean {
		const failedJobIds = [...server.failedJobs.keys()];
		const convincing = failedJobIds.filter(jobId => !jobEvidence.isPoisonJob(jobId));
		if (convincing.length < fewestFailedJobs) {
			return false;
		}

		const attempts = server.ratio.getAttempts(nowMs);
		const failures = server.ratio.getFailures(nowMs);
		const pool = getPool(server.pool).ratio;
		const otherAttempts = pool.getAttempts(nowMs) - attempts;
		const otherFailures = pool.getFailures(nowMs) - failures;
		const ownRatio = failures / attempts;
		const otherRatio = otherAttempts < 1 ? 0 : otherFailures / otherAttempts;
		return ownRatio >= leastFailureRatio && ownRatio >= leastRatioToRest * otherRatio;
	}

	function eject(server: ServerState, nowMs: number): void {
		const pool = getPool(server.pool);
		if (pool.ejected.size >= pool.mostEjected) {
			return;
		}

		const isForgiven = nowMs - server.readmittedAtMs > forgivenAfterMs;
		const probationMs = isForgiven ? firstProbationMs : getNextProbationMs(server.lastProbationMs);
		pool.ejected.add(server);
		pool.ratio.subtract(server.ratio, nowMs);
		server.ratio = createDecayingRatio(halfLifeMs);
		startProbation(server, probationMs);
		metrics.increment('backend-server-ejected');
		events.write('backend-server-ejected', {backendServerId: server.id, pool: server.pool, probationMs});
	}

	function startProbation(server: ServerState, probationMs: number): void {
		const jitteredMs = probationMs * (1 + (probationJitter * random.getFraction()));
		server.lastProbationMs = probationMs;
		server.ejection = {trialDueAtMs: timers.getNowMs() + jitteredMs, probationMs};
	}

	function judgeTrial(server: ServerState, ejection: Ejection, evidence: AttemptResult): void {
		const attemptStartedAtMs = timers.getNowMs() - evidence.durationMs;
		const {trialStartedAtMs} = ejection;
		if (trialStartedAtMs === undefined || attemptStartedAtMs < trialStartedAtMs) {
			return;
		}

		if (evidence.ending === 'done') {
			readmit(server);
		} else if (jobEvidence.isPoisonJob(evidence.jobId)) {
			ejection.trialStartedAtMs = undefined;
		} else {
			startProbation(server, getNextProbationMs(ejection.probationMs));
		}
	}

	function readmit(server: ServerState): void {
		getPool(server.pool).ejected.delete(server);
		server.ejection = undefined;
		server.failedJobs.clear();
		server.readmittedAtMs = timers.getNowMs();
		events.write('backend-server-readmitted', {backendServerId: server.id, pool: server.pool});
	}

	function mayStart(backendServerId: string): boolean {
		const ejection = servers.get(backendServerId)?.ejection;
		if (ejection === undefined) {
			return true;
		}

		const nowMs = timers.getNowMs();
		const {trialStartedAtMs = -Infinity} = ejection;
		if (nowMs < ejection.trialDueAtMs || nowMs < trialStartedAtMs + trialTimeoutMs) {
			return false;
		}

		ejection.trialStartedAtMs = nowMs;
		metrics.increment('backend-server-trial');
		return true;
	}

	function setPoolSize(poolName: string, backendServerCount: number, largestEjectedShare: number): void {
		const pool = getPool(poolName);
		pool.mostEjected = Math.floor((backendServerCount * largestEjectedShare) + roundingTolerance);
		const byTrial = [...pool.ejected].toSorted((left, right) => left.ejection!.trialDueAtMs - right.ejection!.trialDueAtMs);
		for (const server of byTrial.slice(0, Math.max(0, byTrial.length - pool.mostEjected))) {
			readmit(server);
		}
	}

	function removeBackendServer(backendServerId: string): void {
		const server = servers.get(backendServerId);
		if (server !== undefined) {
			getPool(server.pool).ejected.delete(server);
			servers.delete(backendServerId);
		}
	}

	return {
		addResult: addEvidence,
		mayStart,
		isEjected: backendServerId => servers.get(backendServerId)?.ejection !== undefined,
		setPoolSize,
		removeBackendServer,
	};
}

function getNextProbationMs(probationMs: number): number {
	return Math.min(longestProbationMs, Math.max(firstProbationMs, probationMs * probationGrowth));
}
