import {MetricSink, type MetricName} from '@camphortack/core';
import type {StatsdMetricSink} from './statsd-metric-sink.js';

/** Keeps counters and gauges in memory for the status, and forwards all metrics to a downstream sink. */
export class CountingMetricSink extends MetricSink {
	readonly #values = new Map<MetricName, number>();
	readonly #downstream: StatsdMetricSink | undefined;

	constructor(downstream?: StatsdMetricSink) {
		super();
		this.#downstream = downstream;
	}

	override increment(name: MetricName, count = 1): void {
		this.#values.set(name, (this.#values.get(name) ?? 0) + count);
		this.#downstream?.increment(name, count);
	}

	override setGauge(name: MetricName, value: number): void {
		this.#values.set(name, value);
		this.#downstream?.setGauge(name, value);
	}

	override addTiming(name: MetricName, durationMs: number): void {
		this.#downstream?.addTiming(name, durationMs);
	}

	/** Gets all counters and gauges that have been set. */
	getValues(): Record<string, number> {
		return Object.fromEntries(this.#values);
	}

	/** Flushes and closes the downstream sink. */
	async close(): Promise<void> {
		await this.#downstream?.close();
	}
}
