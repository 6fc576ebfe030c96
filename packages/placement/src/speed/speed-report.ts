import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import type {ServerSpeeds, SpeedSubject} from './server-speeds.js';

/** Reports the learned speeds as events and their range as metrics. */
export type SpeedReport = {
	stop(): void;
};

export type SpeedReportOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	speeds: Pick<ServerSpeeds, 'getSpeed'>;
	/** Gets the backend servers of the placer. */
	getServers: () => readonly SpeedSubject[];
};

const reportIntervalMs = 5000;
/** The least factor between two reported speeds of a backend server; learned speeds vary by less without a cause. */
const minReportedFactor = 1.25;

/**
 * Creates the report and starts it. It shows an operator which backend servers the placer takes for slow or fast.
 * @param options - The speeds, the backend servers and the logs.
 *
 * @example
 * ```ts
 * const report = createSpeedReport({timers, events, metrics, speeds, getServers});
 * report.stop();
 * ```
 */
export function createSpeedReport({timers, events, metrics, speeds, getServers}: SpeedReportOptions): SpeedReport {
	let reportedSpeeds = new Map<string, number>();

	function report(): void {
		const nextReportedSpeeds = new Map<string, number>();
		let lowest = Number.POSITIVE_INFINITY;
		let highest = 0;
		for (const server of getServers()) {
			const speed = speeds.getSpeed(server);
			const before = reportedSpeeds.get(server.id) ?? 1;
			const isChanged = Math.max(speed / before, before / speed) >= minReportedFactor;
			if (isChanged) {
				events.write('backend-server-speed-changed', {server: server.id, speed: Number(speed.toFixed(2)), before: Number(before.toFixed(2))});
			}

			nextReportedSpeeds.set(server.id, isChanged ? speed : before);
			lowest = Math.min(lowest, speed);
			highest = Math.max(highest, speed);
		}

		reportedSpeeds = nextReportedSpeeds;
		if (highest > 0) {
			metrics.setGauge('server-speed-lowest', lowest);
			metrics.setGauge('server-speed-highest', highest);
		}
	}

	const subscription = timers.addInterval(reportIntervalMs, report);
	return {
		stop() {
			subscription.cancel();
		},
	};
}
