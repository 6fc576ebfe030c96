import {MetricSink, type MetricName} from '@camphortack/core';

/** A metric sink that records metrics in memory. */
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

	/** Gets the value of a counter or gauge, or the number of recorded timings. */
	getCount(name: MetricName): number {
		return this.#counts.get(name) ?? 0;
	}
}
