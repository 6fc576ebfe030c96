import {MetricSink, type MetricName} from '@camphortack/core';
import type {StatsdMetricSink} from './statsd-metric-sink.js';

/** Keeps counters and gauges in memory for the status page and passes everything on. */
export class CountingMetricSink extends MetricSink {
	readonly #values = new Map<MetricName, number>();
	readonly #next: StatsdMetricSink | undefined;

	constructor(next?: StatsdMetricSink) {
		super();
		this.#next = next;
	}

	override increment(name: MetricName, count = 1): void {
		this.#values.set(name, (this.#values.get(name) ?? 0) + count);
		this.#next?.increment(name, count);
	}

	override setGauge(name: MetricName, value: number): void {
		this.#values.set(name, value);
		this.#next?.setGauge(name, value);
	}

	override addTiming(name: MetricName, durationMs: number): void {
		this.#next?.addTiming(name, durationMs);
	}

	/** Gets every counter and gauge that was ever set. */
	getValues(): Record<string, number> {
		return Object.fromEntries(this.#values);
	}

	/** Sends what is buffered and closes the next sink. */
	async close(): Promise<void> {
		await this.#next?.close();
	}
}
