import {build as buildHistogram} from 'hdr-histogram-js';
import {createSeededRandomSource} from '@camphortack/core';
import {
	createBatchSamplingPolicy, createCentralQueuePolicy, createRandomPolicy, createTwoChoicesPolicy,
} from '../baselines/baseline-policies.js';
import {createCamphortackPolicy} from '../simulation/camphortack-policy.js';
import {createContext, type CreatePolicy, type PolicyContext} from '../simulation/simulation.js';
import {createWorkload, type BenchJob} from '../simulation/workload.js';
import type {Deployment} from './deployments.js';

export const policies = {
	camphortack: createCamphortackPolicy,
	random: createRandomPolicy,
	'two-choices': createTwoChoicesPolicy,
	'batch-sampling': createBatchSamplingPolicy,
	'central-queue': createCentralQueuePolicy,
} as const satisfies Record<string, CreatePolicy>;

export type PolicyName = keyof typeof policies;

export const scenarios = [
	'steady', 'stragglers', 'bursts', 'wrong-declared-times', 'failing-backend-server', 'zone-cut-off',
] as const;

export type Scenario = typeof scenarios[number];

export type RowOptions = {
	deployment: Deployment;
	policy: PolicyName;
	load: number;
	scenario: Scenario;
	seed: number;
	/** The time that is measured, after the warm-up. */
	durationMs: number;
};

/** One line of the bench. */
export type Row = {
	deployment: string;
	policy: string;
	load: number;
	scenario: Scenario;
	responseRatioP50: number;
	responseRatioP99: number;
	wastedMessagesPerTask: number;
	/**
	 * Below capacity: the work of the jobs answered complete of those that arrived, as a share of all that arrived.
	 * Above it: the work of the jobs answered complete in the time measured, as a share of capacity.
	 */
	goodputRatio: number;
	/** Failed tasks of those started, from one second after the fault. */
	failedTaskRatio: number;
};

const warmUpMs = 10_000;
const drainMs = 15_000;
const deadlineMs = 10_000;
/** Ratios are kept in thousandths. */
const ratioScale = 1000;
const largestRatio = 10_000;
const faultAfterWarmUpMs = 2000;
const zoneCutLengthMs = 10_000;

/**
 * Measures one policy under one load and scenario.
 * @param options - What to measure.
 */
export function runRow(options: RowOptions): Row {
	const {deployment, load, scenario, seed, durationMs} = options;
	const context = createContext(deployment, seed, deadlineMs);
	const {timers, fleet} = context;
	const measurement = createMeasurement(deployment, timers);
	const policy = policies[options.policy]({...context, onEnd: measurement.endJob});
	const startMs = timers.getNowMs();
	const slots = deployment.backendServers * deployment.slotsPerBackendServer;
	const jobs = createWorkload({
		random: createSeededRandomSource(seed + 2),
		load,
		slots,
		durationMs: warmUpMs + durationMs,
		declaredErrorFactor: scenario === 'wrong-declared-times' ? 10 : 1,
		burstFactor: scenario === 'bursts' ? 3 : 1,
	});
	for (const job of jobs) {
		timers.addTimer(job.arrivesAtMs + deployment.clientLatencyMs, () => {
			policy.submit(job);
		});
	}

	timers.addTimer(warmUpMs + faultAfterWarmUpMs, () => {
		startFault(scenario, {...context, onEnd: measurement.endJob}, policy.setZoneCut);
	});
	timers.advance(warmUpMs);
	measurement.start(startMs + warmUpMs, durationMs);
	const startedBefore = fleet.totals.startedTasks;
	const wastedBefore = policy.getWastedMessages();
	timers.advance(durationMs);
	const startedTasks = fleet.totals.startedTasks - startedBefore;
	const wastedMessages = policy.getWastedMessages() - wastedBefore;
	const doneWorkMs = measurement.getDoneWorkMs();
	timers.advance(drainMs);
	const capacityMs = slots * durationMs;
	const offeredMs = getOfferedWorkMs(jobs, durationMs);
	return {
		deployment: deployment.name,
		policy: options.policy,
		load,
		scenario,
		responseRatioP50: measurement.getRatio(50),
		responseRatioP99: measurement.getRatio(99),
		wastedMessagesPerTask: round(wastedMessages / startedTasks),
		goodputRatio: round(offeredMs < capacityMs ? measurement.getDoneWorkOfArrivedMs() / offeredMs : doneWorkMs / capacityMs),
		failedTaskRatio: round(fleet.totals.lateFailedTasks / Math.max(1, fleet.totals.lateStartedTasks)),
	};
}

/** Gets the work of the jobs that arrive while it is measured. */
function getOfferedWorkMs(jobs: readonly BenchJob[], durationMs: number): number {
	let workMs = 0;
	for (const job of jobs) {
		if (job.arrivesAtMs >= warmUpMs && job.arrivesAtMs < warmUpMs + durationMs) {
			workMs += getWorkMs(job);
		}
	}

	return workMs;
}

function getWorkMs(job: BenchJob): number {
	let workMs = 0;
	for (const runTimeMs of job.runTimesMs) {
		workMs += runTimeMs;
	}

	return workMs;
}

function startFault(scenario: Scenario, {fleet, timers, cut}: PolicyContext, setZoneCut?: (zone: string | undefined) => void): void {
	const firstFailureMs = 1000;
	switch (scenario) {
		case 'failing-backend-server': {
			fleet.servers[0]!.fault = 'fails-fast';
			fleet.countFailuresFromMs = timers.getNowMs() + firstFailureMs;
			break;
		}

		case 'stragglers': {
			fleet.servers[0]!.fault = 'straggler';
			fleet.servers[1]!.fault = 'straggler';
			break;
		}

		case 'zone-cut-off': {
			cut.availabilityZone = 'zone-0';
			setZoneCut?.('zone-0');
			timers.addTimer(zoneCutLengthMs, () => {
				cut.availabilityZone = undefined;
				setZoneCut?.(undefined);
			});
			break;
		}

		case 'steady':
		case 'bursts':
		case 'wrong-declared-times': {
			break;
		}
	}
}

type Measurement = {
	start(fromMs: number, durationMs: number): void;
	endJob(job: BenchJob, isComplete: boolean): void;
	getRatio(percentile: number): number;
	/** Gets the work of the jobs that ended in the time measured. */
	getDoneWorkMs(): number;
	/** Gets the work of the jobs that arrived in the time measured and ended. */
	getDoneWorkOfArrivedMs(): number;
};

function createMeasurement(deployment: Deployment, timers: PolicyContext['timers']): Measurement {
	const histogram = buildHistogram({highestTrackableValue: largestRatio * ratioScale, numberOfSignificantValueDigits: 3});
	const networkMs = 2 * (deployment.clientLatencyMs + deployment.localLatencyMs);
	let fromMs = Infinity;
	let untilMs = Infinity;
	let workMs = 0;
	let arrivedWorkMs = 0;
	let startedAtMs = 0;

	function endJob(job: BenchJob, isComplete: boolean): void {
		const nowMs = timers.getNowMs();
		const arrivedAtMs = startedAtMs + job.arrivesAtMs;
		if (!isComplete || fromMs === Infinity) {
			return;
		}

		const responseMs = nowMs + deployment.clientLatencyMs - arrivedAtMs;
		if (nowMs >= fromMs && nowMs < untilMs && responseMs <= deadlineMs + (2 * deployment.clientLatencyMs)) {
			workMs += getWorkMs(job);
		}

		if (arrivedAtMs >= fromMs && arrivedAtMs < untilMs) {
			arrivedWorkMs += getWorkMs(job);
			const idealMs = Math.max(...job.runTimesMs) + networkMs;
			histogram.recordValue(Math.min(largestRatio, responseMs / idealMs) * ratioScale);
		}
	}

	return {
		start(newFromMs, durationMs) {
			fromMs = newFromMs;
			untilMs = newFromMs + durationMs;
			startedAtMs = newFromMs - warmUpMs;
		},
		endJob,
		getRatio: percentile => round(histogram.getValueAtPercentile(percentile) / ratioScale),
		getDoneWorkMs: () => workMs,
		getDoneWorkOfArrivedMs: () => arrivedWorkMs,
	};
}

function round(value: number): number {
	return Math.round(value * 10_000) / 10_000;
}
