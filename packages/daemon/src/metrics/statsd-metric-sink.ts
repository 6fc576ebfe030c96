import {StatsD} from 'hot-shots';
import {MetricSink, type MetricName} from '@camphortack/core';

export type StatsdMetricSinkOptions = {
	host: string;
	port: number;
	/** Prepended to each metric name, for example `camphortack.`. */
	prefix: string;
};

const bufferFlushIntervalMs = 1000;
const maxBufferSizeBytes = 1400;

/** Sends metrics to a StatsD server over UDP, batching several in one datagram. */
export class StatsdMetricSink extends MetricSink {
	readonly #client: StatsD;

	constructor(options: StatsdMetricSinkOptions) {
		super();
		this.#client = new StatsD({
			host: options.host,
			port: options.port,
			prefix: options.prefix,
			bufferFlushInterval: bufferFlushIntervalMs,
			maxBufferSize: maxBufferSizeBytes,
			errorHandler() {
				// Metrics that cannot be sent are dropped; nothing else depends on them.
			},
		});
	}

	override increment(name: MetricName, count = 1): void {
		this.#client.increment(name, count);
	}

	override setGauge(name: MetricName, value: number): void {
		this.#client.gauge(name, value);
	}

	override addTiming(name: MetricName, durationMs: number): void {
		this.#client.timing(name, durationMs);
	}

	/** Flushes the buffered metrics and closes the socket. */
	async close(): Promise<void> {
		return new Promise(resolve => {
			this.#client.close(() => {
				resolve();
			});
		});
	}
}
