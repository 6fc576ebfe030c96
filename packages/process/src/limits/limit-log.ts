import type {
	EventLog, MetricName, MetricSink, TimerService,
} from '@camphortack/core';

/** The metrics that count how often a bound on clients or peers was reached. */
export type LimitMetricName = Extract<MetricName, `limit-${string}`>;

/** Records that bounds on what clients and peers may use were reached. */
export type LimitLog = {
	/** Counts it, and logs it at most once a second for each bound. */
	record(name: LimitMetricName): void;
};

export type LimitLogOptions = {
	timers: Pick<TimerService, 'getNowMs'>;
	events: EventLog;
	metrics: MetricSink;
};

const minIntervalMs = 1000;

/**
 * Creates the log.
 * @param options - The clock, and where events and counters go.
 *
 * @example
 * ```ts
 * const limitLog = createLimitLog({timers, events, metrics});
 * limitLog.record('limit-connections'); // Logs that one connection was closed.
 * limitLog.record('limit-connections'); // Only counts it; the next line includes it.
 * ```
 */
export function createLimitLog({timers, events, metrics}: LimitLogOptions): LimitLog {
	const loggedAtMs = new Map<LimitMetricName, number>();
	const unloggedCounts = new Map<LimitMetricName, number>();

	return {
		record(name) {
			metrics.increment(name);
			const count = (unloggedCounts.get(name) ?? 0) + 1;
			const nowMs = timers.getNowMs();
			if (nowMs - (loggedAtMs.get(name) ?? Number.NEGATIVE_INFINITY) < minIntervalMs) {
				unloggedCounts.set(name, count);
				return;
			}

			loggedAtMs.set(name, nowMs);
			unloggedCounts.delete(name);
			events.write('limit-reached', {limit: name, count});
		},
	};
}
