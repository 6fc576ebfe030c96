import type {MetricName} from '../metrics/metric-names.js';

/** Collects counters, gauges and timings. */
export abstract class MetricSink {
	/** Increments a counter, by 1 by default. */
	abstract increment(name: MetricName, count?: number): void;
	abstract setGauge(name: MetricName, value: number): void;
	/** Records a duration, in milliseconds. */
	abstract addTiming(name: MetricName, durationMs: number): void;
}
