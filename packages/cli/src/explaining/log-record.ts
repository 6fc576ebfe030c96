import {z} from 'zod';

/** A line of a daemon's log. The other fields depend on the event. */
export const logRecordSchema = z.looseObject({
	time: z.number(),
	daemon: z.string(),
	event: z.string(),
	number: z.int(),
});

export type LogRecord = z.infer<typeof logRecordSchema>;

/**
 * Parses the lines of a log. Text before the first brace, such as a prefix added by a log collector, is ignored.
 * Lines without a brace are skipped.
 * @param text - The content of the log.
 */
export function parseLogRecords(text: string): {records: LogRecord[]; unreadableCount: number} {
	const records: LogRecord[] = [];
	let unreadableCount = 0;
	for (const line of text.split('\n')) {
		const start = line.indexOf('{');
		if (start === -1) {
			continue;
		}

		const record = findRecord(line.slice(start));
		if (record === undefined) {
			unreadableCount++;
		} else {
			records.push(record);
		}
	}

	return {records, unreadableCount};
}

function findRecord(text: string): LogRecord | undefined {
	try {
		return logRecordSchema.safeParse(JSON.parse(text)).data;
	} catch {
		// The caller counts and reports truncated lines.
		return undefined;
	}
}
