import type {MetricName} from '../metrics/metric-names.js';

/** Where counters, gauges and timings go. */
export abstract class MetricSink {
	/** Adds to a counter. */
	abstract increment(name: MetricName, count?: number): void;
	/** Sets a gauge. */
	abstract setGauge(name: MetricName, value: number): void;
	/** Adds a duration, in milliseconds. */
	abstract addTiming(name: MetricName, durationMs: number): void;
}
