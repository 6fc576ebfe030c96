import {formatTable} from '../formatting/format-table.js';
import type {LogRecord} from './log-record.js';

const shownApart = new Set(['time', 'daemon', 'event', 'number', 'level', 'upMs']);

/**
 * Formats a story as a table; times count from its first line.
 * @param story - The lines.
 */
export function formatStory(story: readonly LogRecord[]): string {
	const startMs = story[0]?.time ?? 0;
	const rows = story.map(record => [
		`+${record.time - startMs} ms`,
		record.daemon,
		`E${record.number} ${record.event}`,
		getFields(record),
	]);
	return formatTable(['time', 'daemon', 'event', 'values'], rows);
}

function getFields(record: LogRecord): string {
	return Object.entries(record)
		.filter(([key]) => !shownApart.has(key))
		.map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
		.join(' ');
}
