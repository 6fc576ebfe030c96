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
	/** The duration of the measurement, which follows the warm-up. */
	durationMs: number;
};

/** The result of one benchmark run. */
export type Row = {
	deployment: string;
	policy: string;
	load: number;
	scenario: Scenario;
	responseRatioP50: number;
	responseRatioP99: number;
	wastedMessagesPerTask: number;
	/**
	 * At a load below capacity, the work of the completed jobs among those that arrived during the measurement, as a fraction of all work that arrived.
	 * At a higher load, the work of the jobs that completed during the measurement, as a fraction of capacity.
	 */
	goodputRatio: number;
	/** The fraction of tasks that failed, of those started one second or more after the fault. */
	failedTaskRatio: number;
};

const warmUpMs = 10_000;
const drainMs = 15_000;
const deadlineMs = 10_000;
/** The histogram stores integers, so ratios are recorded in thousandths. */
const ratioScale = 1000;
const maxRatio = 10_000;
const faultDelayMs = 2000;
const zonePartitionDurationMs = 10_000;

/**
 * Measures one policy under one load and scenario.
 * @param options - The policy, deployment, load and scenario to run.
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

	timers.addTimer(warmUpMs + faultDelayMs, () => {
		injectFault(scenario, {...context, onEnd: measurement.endJob}, policy.setZonePartition);
	});
	timers.advance(warmUpMs);
	measurement.start(startMs + warmUpMs, durationMs);
	const startedBefore = fleet.totals.startedTasks;
	const wastedBefore = policy.getWastedMessages();
	timers.advance(durationMs);
	const startedTasks = fleet.totals.startedTasks - startedBefore;
	const wastedMessages = policy.getWastedMessages() - wastedBefore;
	const completedWorkMs = measurement.getCompletedWorkMs();
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
		goodputRatio: round(offeredMs < capacityMs ? measurement.getCompletedArrivedWorkMs() / offeredMs : completedWorkMs / capacityMs),
		failedTaskRatio: round(fleet.totals.measuredFailedTasks / Math.max(1, fleet.totals.measuredStartedTasks)),
	};
}

/** Gets the work of the jobs that arrive during the measurement. */
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

function injectFault(scenario: Scenario, {fleet, timers, networkPartition}: PolicyContext, setZonePartition?: (zone: string | undefined) => void): void {
	const failureMeasurementDelayMs = 1000;
	switch (scenario) {
		case 'failing-backend-server': {
			fleet.servers[0]!.fault = 'fails-fast';
			fleet.measureFailuresFromMs = timers.getNowMs() + failureMeasurementDelayMs;
			break;
		}

		case 'stragglers': {
			fleet.servers[0]!.fault = 'straggler';
			fleet.servers[1]!.fault = 'straggler';
			break;
		}

		case 'zone-cut-off': {
			networkPartition.availabilityZone = 'zone-0';
			setZonePartition?.('zone-0');
			timers.addTimer(zonePartitionDurationMs, () => {
				networkPartition.availabilityZone = undefined;
				setZonePartition?.(undefined);
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
	/** Gets the work of the jobs that completed during the measurement. */
	getCompletedWorkMs(): number;
	/** Gets the work of the completed jobs that arrived during the measurement. */
	getCompletedArrivedWorkMs(): number;
};

function createMeasurement(deployment: Deployment, timers: PolicyContext['timers']): Measurement {
	const histogram = buildHistogram({highestTrackableValue: maxRatio * ratioScale, numberOfSignificantValueDigits: 3});
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
			histogram.recordValue(Math.min(maxRatio, responseMs / idealMs) * ratioScale);
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
		getCompletedWorkMs: () => workMs,
		getCompletedArrivedWorkMs: () => arrivedWorkMs,
	};
}

function round(value: number): number {
	return Math.round(value * 10_000) / 10_000;
}
