import type {
	EventLog, MetricSink, RandomSource, TimerService,
} from '@camphortack/core';
import {createDecayingRatio, type DecayingRatio} from '../utils/decaying-ratio.js';
import {createPoisonJobDetector} from './poison-job-detector.js';

/** The result of one attempt on a backend server. */
export type AttemptResult = {
	backendServerId: string;
	pool: string;
	jobId: string;
	ending: 'done' | 'error' | 'lost' | 'connect-refused';
	durationMs: number;
};

/** Outlier detection: ejects backend servers that fail the tasks they start. */
export type EjectionTracker = {
	addResult(result: AttemptResult): void;
	/**
	 * Whether a task may start on the backend server now. For an ejected one this is true once a trial is due, and only
	 * for that trial. Call it immediately before the start: returning true consumes the trial.
	 */
	mayStart(backendServerId: string): boolean;
	isEjected(backendServerId: string): boolean;
	/** Sets the size of a pool, which limits how many of its backend servers may be ejected. */
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
	/** The time of the last failure of each job since the last success, oldest first. */
	readonly failedJobs: Map<string, number>;
	ejection?: Ejection;
	lastProbationMs: number;
	readmittedAtMs: number;
};

type PoolState = {
	readonly ratio: DecayingRatio;
	readonly ejected: Set<ServerState>;
	maxEjected: number;
};

const halfLifeMs = 10_000;
/** A backend server is ejected only after failures of this many jobs that are not poison jobs. */
const minFailedJobs = 3;
const maxFailedJobs = 16;
const failureLifetimeMs = 30_000;
/** The minimum ratio of failed attempts for an ejection. */
const minFailureRatio = 0.5;
/** The failure ratio must be at least this many times that of the rest of the pool. */
const minRatioToRest = 2;
const initialProbationMs = 5000;
const maxProbationMs = 300_000;
const probationGrowth = 2;
/** Probations are extended by up to this ratio, so that the trials of a rack do not coincide. */
const probationJitter = 0.2;
/** A trial without a result after this time is abandoned, and another one may start. */
const trialTimeoutMs = 60_000;
/** This long after a readmission the next ejection starts again with the initial probation. */
const probationResetMs = 600_000;
/** Compensates floating-point error, so that a product such as 0.3 * 10 is not floored below its exact value. */
const roundingTolerance = 1e-9;

/**
 * Creates a tracker that ejects backend servers after failures of several different jobs.
 *
 * @example
 * ```ts
 * const ejection = createEjectionTracker({timers, random, metrics, events});
 * ejection.setPoolSize('walnut', 30, 0.3);
 * ejection.addResult({backendServerId: 'b1', pool: 'walnut', jobId: 'j1', ending: 'error', durationMs: 2});
 * ejection.mayStart('b1');
 * ```
 */
export function createEjectionTracker({timers, random, metrics, events}: EjectionTrackerOptions): EjectionTracker {
	const servers = new Map<string, ServerState>();
	const pools = new Map<string, PoolState>();
	const poisonJobs = createPoisonJobDetector();

	function getPool(name: string): PoolState {
		let pool = pools.get(name);
		if (pool === undefined) {
			pool = {ratio: createDecayingRatio(halfLifeMs), ejected: new Set(), maxEjected: 0};
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

	function addResult(result: AttemptResult): void {
		const server = getServer(result.backendServerId, result.pool);
		const isFailure = result.ending !== 'done';
		if (isFailure) {
			poisonJobs.addFailure(result.jobId, server.id);
		} else {
			poisonJobs.addSuccess(result.jobId);
		}

		if (server.ejection === undefined) {
			evaluateAttempt(server, result, isFailure);
		} else {
			evaluateTrial(server, server.ejection, result);
		}
	}

	function evaluateAttempt(server: ServerState, result: AttemptResult, isFailure: boolean): void {
		const nowMs = timers.getNowMs();
		server.ratio.add(isFailure, nowMs);
		getPool(server.pool).ratio.add(isFailure, nowMs);
		if (!isFailure) {
			server.failedJobs.clear();
			return;
		}

		addFailedJob(server, result.jobId, nowMs);
		if (isOutlier(server, nowMs)) {
			eject(server, nowMs);
		}
	}

	function addFailedJob(server: ServerState, jobId: string, nowMs: number): void {
		const {failedJobs} = server;
		failedJobs.delete(jobId);
		failedJobs.set(jobId, nowMs);
		for (const [oldestJobId, failedAtMs] of failedJobs) {
			if (failedJobs.size <= maxFailedJobs && failedAtMs > nowMs - failureLifetimeMs) {
				break;
			}

			failedJobs.delete(oldestJobId);
		}
	}

	function isOutlier(server: ServerState, nowMs: number): boolean {
		const failedJobIds = [...server.failedJobs.keys()];
		const relevantJobIds = failedJobIds.filter(jobId => !poisonJobs.isPoisonJob(jobId));
		if (relevantJobIds.length < minFailedJobs) {
			return false;
		}

		const attempts = server.ratio.getAttempts(nowMs);
		const failures = server.ratio.getFailures(nowMs);
		const pool = getPool(server.pool).ratio;
		const otherAttempts = pool.getAttempts(nowMs) - attempts;
		const otherFailures = pool.getFailures(nowMs) - failures;
		const ownRatio = failures / attempts;
		const otherRatio = otherAttempts < 1 ? 0 : otherFailures / otherAttempts;
		return ownRatio >= minFailureRatio && ownRatio >= minRatioToRest * otherRatio;
	}

	function eject(server: ServerState, nowMs: number): void {
		const pool = getPool(server.pool);
		if (pool.ejected.size >= pool.maxEjected) {
			return;
		}

		const isProbationReset = nowMs - server.readmittedAtMs > probationResetMs;
		const probationMs = isProbationReset ? initialProbationMs : getNextProbationMs(server.lastProbationMs);
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

	function evaluateTrial(server: ServerState, ejection: Ejection, result: AttemptResult): void {
		const attemptStartedAtMs = timers.getNowMs() - result.durationMs;
		const {trialStartedAtMs} = ejection;
		if (trialStartedAtMs === undefined || attemptStartedAtMs < trialStartedAtMs) {
			return;
		}

		if (result.ending === 'done') {
			readmit(server);
		} else if (poisonJobs.isPoisonJob(result.jobId)) {
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
		pool.maxEjected = Math.floor((backendServerCount * largestEjectedShare) + roundingTolerance);
		const byTrial = [...pool.ejected].toSorted((left, right) => left.ejection!.trialDueAtMs - right.ejection!.trialDueAtMs);
		for (const server of byTrial.slice(0, Math.max(0, byTrial.length - pool.maxEjected))) {
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
		addResult,
		mayStart,
		isEjected: backendServerId => servers.get(backendServerId)?.ejection !== undefined,
		setPoolSize,
		removeBackendServer,
	};
}

function getNextProbationMs(probationMs: number): number {
	return Math.min(maxProbationMs, Math.max(initialProbationMs, probationMs * probationGrowth));
}
