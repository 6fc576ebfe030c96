import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {MetricSink, type MetricName} from '@camphortack/core';

const prefix = 'camphortack_';
const bucketsMs = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000];

/** Collects counters, gauges and latency histograms, and formats them for Prometheus. */
export class PrometheusMetricSink extends MetricSink {
	readonly #registry = new Registry();
	readonly #counters = new Map<MetricName, Counter>();
	readonly #gauges = new Map<MetricName, Gauge>();
	readonly #histograms = new Map<MetricName, Histogram>();

	override increment(name: MetricName, count = 1): void {
		let counter = this.#counters.get(name);
		if (counter === undefined) {
			counter = new Counter({name: `${getPrometheusName(name)}_total`, help: name, registers: [this.#registry]});
			this.#counters.set(name, counter);
		}

		counter.inc(count);
	}

	override setGauge(name: MetricName, value: number): void {
		let gauge = this.#gauges.get(name);
		if (gauge === undefined) {
			gauge = new Gauge({name: getPrometheusName(name), help: name, registers: [this.#registry]});
			this.#gauges.set(name, gauge);
		}

		gauge.set(value);
	}

	override addTiming(name: MetricName, durationMs: number): void {
		let histogram = this.#histograms.get(name);
		if (histogram === undefined) {
			histogram = new Histogram({
				name: `${getPrometheusName(name)}_ms`, help: name, buckets: bucketsMs, registers: [this.#registry],
			});
			this.#histograms.set(name, histogram);
		}

		histogram.observe(durationMs);
	}

	/** Gets all metrics that have been set, in the Prometheus text format. */
	async getText(): Promise<string> {
		return this.#registry.metrics();
	}
}

function getPrometheusName(name: MetricName): string {
	return prefix + name.replaceAll('-', '_');
}
