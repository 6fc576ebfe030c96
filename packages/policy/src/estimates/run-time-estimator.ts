import {build, type Histogram} from 'hdr-histogram-js';
import {LRUMap} from 'mnemonist';
import type {TimerService} from '@camphortack/core';

/** Learns how long the tasks of each service run. */
export type RunTimeEstimator = {
	addSample(service: string, durationMs: number): void;
	/** Gets the learned mean once there are enough samples, else the declared time. */
	getExpectedRunTimeMs(service: string, declaredRunTimeMs: number): number;
	/** Finds a learned quantile (0 to 1), or undefined while there are too few samples. */
	findQuantileMs(service: string, quantile: number): number | undefined;
};

export type RunTimeEstimatorOptions = {
	timers: TimerService;
	/** The least samples before the learned figures are used. */
	minSamples?: number;
};

/** The samples of one span of time. */
type SampleWindow = {
	readonly histogram: Histogram;
	sumMs: number;
	count: number;
};

type ServiceSamples = {
	current: SampleWindow;
	previous: SampleWindow;
	startedAtMs: number;
};

const defaultFewestSamples = 30;
/** The services that are remembered; the one not used for longest is forgotten first. */
const mostServices = 1000;
const longestRunTimeMs = 600_000;
const windowMs = 60_000;
/** Fits the 16-bit counters of a histogram, also after two windows are added up. */
const mostSamplesPerWindow = 10_000;

/**
 * Creates an estimator that forgets: it looks at the present window of samples and the one before.
 *
 * @example
 * ```ts
 * const estimator = createRunTimeEstimator({timers});
 * estimator.addSample('pricing', 180);
 * estimator.getExpectedRunTimeMs('pricing', 500); // 500 until there are 30 samples
 * ```
 */
export function createRunTimeEstimator({timers, minSamples = defaultFewestSamples}: RunTimeEstimatorOptions): RunTimeEstimator {
	const services = new LRUMap<string, ServiceSamples>(mostServices);

	function addSample(service: string, durationMs: number): void {
		const samples = getSamples(service);
		rotateWindows(samples);
		const boundedMs = Math.min(longestRunTimeMs, Math.max(0, durationMs));
		const {current} = samples;
		current.histogram.recordValue(Math.max(1, Math.round(boundedMs)));
		current.sumMs += boundedMs;
		current.count++;
	}

	function getSamples(service: string): ServiceSamples {
		let samples = services.get(service);
		if (samples === undefined) {
			samples = {current: createWindow(), previous: createWindow(), startedAtMs: timers.getNowMs()};
			services.set(service, samples);
		}

		return samples;
	}

	function rotateWindows(samples: ServiceSamples): void {
		const nowMs = timers.getNowMs();
		const isOver = nowMs - samples.startedAtMs >= windowMs && samples.current.count >= minSamples;
		if (isOver || samples.current.count >= mostSamplesPerWindow) {
			const reused = samples.previous;
			samples.previous = samples.current;
			samples.current = clearWindow(reused);
			samples.startedAtMs = nowMs;
		}
	}

	function findEnoughSamples(service: string): ServiceSamples | undefined {
		const samples = services.get(service);
		const count = samples === undefined ? 0 : samples.current.count + samples.previous.count;
		return count >= minSamples ? samples : undefined;
	}

	function getExpectedRunTimeMs(service: string, declaredRunTimeMs: number): number {
		const samples = findEnoughSamples(service);
		if (samples === undefined) {
			return declaredRunTimeMs;
		}

		const {current, previous} = samples;
		return (current.sumMs + previous.sumMs) / (current.count + previous.count);
	}

	function findQuantileMs(service: string, quantile: number): number | undefined {
		const samples = findEnoughSamples(service);
		if (samples === undefined) {
			return undefined;
		}

		const {current, previous} = samples;
		if (current.count >= minSamples) {
			return current.histogram.getValueAtPercentile(quantile * 100);
		}

		return previous.count >= minSamples
			? previous.histogram.getValueAtPercentile(quantile * 100)
			: getJointQuantile(current.histogram, previous.histogram, quantile);
	}

	return {addSample, getExpectedRunTimeMs, findQuantileMs};
}

function getJointQuantile(current: Histogram, previous: Histogram, quantile: number): number {
	const joint = createWindow().histogram;
	joint.add(current);
	joint.add(previous);
	return joint.getValueAtPercentile(quantile * 100);
}

function createWindow(): SampleWindow {
	const histogram = build({
		bitBucketSize: 16,
		autoResize: false,
		lowestDiscernibleValue: 1,
		highestTrackableValue: longestRunTimeMs,
		numberOfSignificantValueDigits: 2,
	});
	return {histogram, sumMs: 0, count: 0};
}

function clearWindow(window: SampleWindow): SampleWindow {
	window.histogram.reset();
	window.sumMs = 0;
	window.count = 0;
	return window;
}
