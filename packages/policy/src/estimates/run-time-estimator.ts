import {build, type Histogram} from 'hdr-histogram-js';
import {LRUMap} from 'mnemonist';
import type {TimerService} from '@camphortack/core';

/** Estimates the run time of the tasks of each service from samples. */
export type RunTimeEstimator = {
	addSample(service: string, durationMs: number): void;
	/** Gets the mean of the samples, or the declared time while there are too few samples. */
	getExpectedRunTimeMs(service: string, declaredRunTimeMs: number): number;
	/** Gets a quantile (0 to 1) of the samples, or undefined while there are too few samples. */
	findQuantileMs(service: string, quantile: number): number | undefined;
};

export type RunTimeEstimatorOptions = {
	timers: TimerService;
	/** The number of samples required for an estimate. */
	minSamples?: number;
};

/** The samples of one time window. */
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

const defaultMinSamples = 30;
/** The number of services tracked; the least recently used one is evicted first. */
const maxServices = 1000;
const maxRunTimeMs = 600_000;
const windowMs = 60_000;
/** Keeps the 16-bit counters of a histogram from overflowing, even when two windows are merged. */
const maxSamplesPerWindow = 10_000;

/**
 * Creates an estimator over a sliding window: it uses the samples of the current window and of the previous one.
 *
 * @example
 * ```ts
 * const estimator = createRunTimeEstimator({timers});
 * estimator.addSample('pricing', 180);
 * estimator.getExpectedRunTimeMs('pricing', 500); // 500 until there are 30 samples
 * ```
 */
export function createRunTimeEstimator({timers, minSamples = defaultMinSamples}: RunTimeEstimatorOptions): RunTimeEstimator {
	const services = new LRUMap<string, ServiceSamples>(maxServices);

	function addSample(service: string, durationMs: number): void {
		const samples = getSamples(service);
		rotateWindows(samples);
		const boundedMs = Math.min(maxRunTimeMs, Math.max(0, durationMs));
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
		if (isOver || samples.current.count >= maxSamplesPerWindow) {
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
			: getCombinedQuantile(current.histogram, previous.histogram, quantile);
	}

	return {addSample, getExpectedRunTimeMs, findQuantileMs};
}

function getCombinedQuantile(current: Histogram, previous: Histogram, quantile: number): number {
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
		highestTrackableValue: maxRunTimeMs,
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
