import type {EventLog} from '../ports/event-log.js';
import type {MetricSink} from '../ports/metric-sink.js';
import type {BadRow} from './parse-without-bad-rows.js';

/** Where the bad rows of a message are counted and logged. */
export type BadRowSinks = {
	events: EventLog;
	metrics: MetricSink;
};

/** The message that lost the rows. */
export type BadRowSource = {
	/** The daemon that sent it. */
	from: string;
	kind: string;
};

/**
 * Counts and logs each row that the lists of a message lost.
 * @param sinks - The event log and the metrics.
 * @param source - The sender and the kind of the message.
 * @param badRows - The rows, as reported by `parseWithoutBadRows`.
 *
 * @example
 * ```ts
 * const parsed = parseWithoutBadRows(schema, message, ['records']);
 * if (parsed.success) {
 * 	reportBadRows({events, metrics}, {from: 'daemon-2', kind: message.kind}, parsed.badRows);
 * }
 * ```
 */
export function reportBadRows({events, metrics}: BadRowSinks, {from, kind}: BadRowSource, badRows: readonly BadRow[]): void {
	for (const {list, index, reason} of badRows) {
		metrics.increment('peer-row-dropped');
		events.write('peer-row-dropped', {
			from, kind, list, index, reason,
		});
	}
}
