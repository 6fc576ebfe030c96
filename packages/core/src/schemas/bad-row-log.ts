import type {EventLog} from '../ports/event-log.js';
import type {MetricSink} from '../ports/metric-sink.js';
import type {TimerService} from '../time/timer-service.js';
import type {BadRow} from './parse-without-bad-rows.js';

/** The message that lost the rows. */
export type BadRowSource = {
	/** The daemon that sent it. */
	from: string;
	kind: string;
};

/** Counts and logs the rows that the lists of messages from other daemons lost. */
export type BadRowLog = {
	/** Counts each row, and logs the first ones unless messages of that kind from that daemon were logged recently. */
	report(source: BadRowSource, badRows: readonly BadRow[]): void;
	/**
	 * Whether bad messages of a kind from a daemon may be logged now. If so, they are not again for a while: most messages are
	 * repeated several times a second, so that one bad row would otherwise fill the log.
	 */
	takeLogTurn(source: BadRowSource): boolean;
};

export type BadRowLogOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
};

const logIntervalMs = 10_000;
const maxLoggedRows = 5;
const maxLoggedSources = 1000;

/**
 * Creates the log.
 * @param options - The clock and the sinks.
 *
 * @example
 * ```ts
 * const badRowLog = createBadRowLog({timers, events, metrics});
 * const parsed = parseWithoutBadRows(schema, message, ['records']);
 * if (parsed.success) {
 * 	badRowLog.report({from: 'daemon-2', kind: message.kind}, parsed.badRows);
 * }
 * ```
 */
export function createBadRowLog({timers, events, metrics}: BadRowLogOptions): BadRowLog {
	const loggedAtMs = new Map<string, number>();

	function takeLogTurn({from, kind}: BadRowSource): boolean {
		const key = `${from} ${kind}`;
		const nowMs = timers.getNowMs();
		if (nowMs - (loggedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) < logIntervalMs) {
			return false;
		}

		if (loggedAtMs.size >= maxLoggedSources) {
			loggedAtMs.clear();
		}

		loggedAtMs.set(key, nowMs);
		return true;
	}

	return {
		takeLogTurn,
		report(source, badRows) {
			if (badRows.length === 0) {
				return;
			}

			metrics.increment('peer-row-dropped', badRows.length);
			const loggedRows = takeLogTurn(source) ? badRows.slice(0, maxLoggedRows) : [];
			for (const {list, index, reason} of loggedRows) {
				events.write('peer-row-dropped', {
					...source, list, index, reason,
				});
			}
		},
	};
}
