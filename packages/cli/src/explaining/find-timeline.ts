import type {LogRecord} from './log-record.js';

const placerEvents = new Set(['placer-elected', 'placer-stopped', 'placer-followed']);
const serverEvents = new Set(['backend-session-changed', 'backend-server-ejected', 'backend-server-changed', 'backend-server-left', 'backend-server-announced']);
const daemonEvents = new Set(['daemon-started', 'daemon-draining', 'daemon-stopped', 'daemon-failed', 'entry-silent', 'log-lines-left-out']);
/** Events shortly before the arrival of a job can have affected it. */
const contextBeforeMs = 1000;
const contextAfterMs = 200;

/**
 * Finds the log records about a job or a backend server, in chronological order: those that name its id, and events of
 * the daemons that handled it, of the backend servers involved and of placers within the same period.
 * @param records - The log records of all daemons.
 * @param id - The id of a job or of a backend server.
 *
 * @example
 * ```ts
 * findTimeline(records, '5c0e7a21d94b36f8').map(record => record.event); // ['job-taken', 'task-failed', 'job-ended', 'job-answered']
 * ```
 */
export function findTimeline(records: readonly LogRecord[], id: string): LogRecord[] {
	const ownRecords = records.filter(record => namesId(record, id));
	if (ownRecords.length === 0) {
		return [];
	}

	const startTimes = ownRecords.map(record => getStartMs(record));
	const fromMs = Math.min(...startTimes) - contextBeforeMs;
	const toMs = Math.max(...ownRecords.map(record => record.time)) + contextAfterMs;
	const serverIds = getServerIds(ownRecords);
	const daemons = new Set(ownRecords.map(record => record.daemon));
	const contextRecords = records.filter(record => record.time >= fromMs && record.time <= toMs && isContext(record, serverIds, daemons));
	return [...new Set([...ownRecords, ...contextRecords])].toSorted((left, right) => left.time - right.time || left.number - right.number);
}

function namesId(record: LogRecord, id: string): boolean {
	const isTask = typeof record.task === 'string' && record.task.startsWith(`${id}.`);
	return record.job === id || record.server === id || isTask;
}

/** The record of a job's end contains its age, so its arrival time is known even if the record of the arrival was dropped. */
function getStartMs({time, ageMs}: LogRecord): number {
	return typeof ageMs === 'number' ? time - ageMs : time;
}

function getServerIds(records: readonly LogRecord[]): Set<string> {
	const ids = records.flatMap(({server, servers}) => [
		...(typeof server === 'string' ? [server] : []),
		...(typeof servers === 'string' ? servers.split(' ') : []),
	]);
	return new Set(ids);
}

function isContext(record: LogRecord, serverIds: ReadonlySet<string>, daemons: ReadonlySet<string>): boolean {
	const isOfServer = serverEvents.has(record.event) && typeof record.server === 'string' && serverIds.has(record.server);
	const isOfDaemon = daemons.has(record.daemon) && (daemonEvents.has(record.event) || record.event === 'placer-followed');
	return isOfServer || isOfDaemon || (placerEvents.has(record.event) && record.event !== 'placer-followed');
}
