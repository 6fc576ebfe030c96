import {MetricSink, type MetricName} from '@camphortack/core';

/** Keeps metrics in memory, for tests. */
export class RecordingMetricSink extends MetricSink {
	readonly #counts = new Map<MetricName, number>();

	override increment(name: MetricName, count = 1): void {
		this.#counts.set(name, this.getCount(name) + count);
	}

	override setGauge(name: MetricName, value: number): void {
		this.#counts.set(name, value);
	}

	override addTiming(name: MetricName): void {
		this.increment(name);
	}

	/** Gets a counter, a gauge, or the number of timings. */
	getCount(name: MetricName): number {
		return this.#counts.get(name) ?? 0;
	}
}
