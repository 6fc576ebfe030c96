import {formatTable} from '../formatting/format-table.js';
import type {LogRecord} from './log-record.js';

const keysWithOwnColumn = new Set(['time', 'daemon', 'event', 'number', 'level', 'upMs']);

/**
 * Formats the records of a timeline as a table, with times relative to the first record.
 * @param timeline - The records, in chronological order.
 */
export function formatTimeline(timeline: readonly LogRecord[]): string {
	const startMs = timeline[0]?.time ?? 0;
	const rows = timeline.map(record => [
		`+${record.time - startMs} ms`,
		record.daemon,
		`E${record.number} ${record.event}`,
		getFields(record),
	]);
	return formatTable(['time', 'daemon', 'event', 'values'], rows);
}

function getFields(record: LogRecord): string {
	return Object.entries(record)
		.filter(([key]) => !keysWithOwnColumn.has(key))
		.map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
		.join(' ');
}
