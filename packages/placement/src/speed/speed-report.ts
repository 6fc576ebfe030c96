import type {MetricSink, TimerService} from '@camphortack/core';
import type {ServerSpeeds, SpeedSubject} from './server-speeds.js';

/** Reports the range of the learned speeds as metrics. */
export type SpeedReport = {
	stop(): void;
};

export type SpeedReportOptions = {
	timers: TimerService;
	metrics: MetricSink;
	speeds: Pick<ServerSpeeds, 'getSpeed'>;
	/** Gets the backend servers of the placer. */
	getServers: () => readonly SpeedSubject[];
};

const reportIntervalMs = 5000;

/**
 * Creates the report and starts it. An operator sees by the range whether a placer takes some backend servers for slow.
 * @param options - The speeds and the backend servers.
 *
 * @example
 * ```ts
 * const report = createSpeedReport({timers, metrics, speeds, getServers});
 * report.stop();
 * ```
 */
export function createSpeedReport({timers, metrics, speeds, getServers}: SpeedReportOptions): SpeedReport {
	const subscription = timers.addInterval(reportIntervalMs, () => {
		const known = getServers().map(server => speeds.getSpeed(server));
		if (known.length > 0) {
			metrics.setGauge('server-speed-lowest', Math.min(...known));
			metrics.setGauge('server-speed-highest', Math.max(...known));
		}
	});
	return {
		stop() {
			subscription.cancel();
		},
	};
}
