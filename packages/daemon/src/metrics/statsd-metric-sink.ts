import {StatsD} from 'hot-shots';
import {MetricSink, type MetricName} from '@camphortack/core';

export type StatsdMetricSinkOptions = {
	host: string;
	port: number;
	/** Put before each name, as `camphortack.`. */
	prefix: string;
};

const bufferFlushIntervalMs = 1000;
const maxBufferSizeBytes = 1400;

/** Sends metrics to a statsd server over UDP, many to a datagram. */
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
				// A metric that cannot be sent is lost; nothing else depends on it.
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

	/** Sends what is buffered and closes the socket. */
	async close(): Promise<void> {
		return new Promise(resolve => {
			this.#client.close(() => {
				resolve();
			});
		});
	}
}
