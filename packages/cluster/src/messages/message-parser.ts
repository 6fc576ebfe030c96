import {
	parseWithoutBadRows, reportBadRows, type BadRow, type EventLog, type MetricSink, type PeerMessage, type TimerService,
} from '@camphortack/core';
import {placementMessageSchema, type PlacementMessage} from '@camphortack/placement';
import type {z} from 'zod';
import {clusterMessageSchema, type ClusterMessage} from './cluster-messages.js';

/** A message as far as it matches its schema. */
export type ParsedMessage<Message> = {
	message: Message;
	/** Whether a list of the message lost rows. Then nothing may be concluded from what the list does not contain. */
	hasLostRows: boolean;
};

/** Parses the messages of other daemons. What does not match the schema is counted and logged. */
export type MessageParser = {
	parsePlacementMessage(fromId: string, message: PeerMessage): ParsedMessage<PlacementMessage> | undefined;
	parseClusterMessage(fromId: string, message: PeerMessage): ParsedMessage<ClusterMessage> | undefined;
};

export type MessageParserOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
};

/**
 * The lists that lose rows which do not match the schema, by the kind of the message. Each of their rows is a statement of its
 * own. Other lists must be complete: a job that is missing among those that a daemon waits for, or an evacuated availability
 * zone that is missing, would mean something.
 */
const lossyLists = new Map<string, string[]>([
	['cluster.heartbeat', ['memberIds']],
	['cluster.registry', ['descriptions']],
	['cluster.crashes', ['records']],
	['placement.not-begun', ['jobIds']],
	['placement.unknown-jobs', ['jobIds']],
]);

/** Messages of a kind are repeated several times a second, so that one bad row would otherwise fill the log. */
const logIntervalMs = 10_000;
const maxLoggedRows = 5;
const maxLoggedSources = 1000;

/**
 * Creates the parser.
 * @param options - The clock and the sinks.
 *
 * @example
 * ```ts
 * const parser = createMessageParser({timers, events, metrics});
 * parser.parseClusterMessage('10.0.0.1', {kind: 'cluster.crashes', records: [record, {taskName: 7}]}); // {message: {kind, records: [record]}, hasLostRows: true}
 * ```
 */
export function createMessageParser({timers, events, metrics}: MessageParserOptions): MessageParser {
	const loggedAtMs = new Map<string, number>();

	/** Whether bad messages of a kind from a daemon are logged again. */
	function takeLogTurn(fromId: string, kind: string): boolean {
		const key = `${fromId} ${kind}`;
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

	function reportMalformed(fromId: string, kind: string, error: z.ZodError): void {
		metrics.increment('peer-malformed');
		if (takeLogTurn(fromId, kind)) {
			const {path, message} = error.issues[0]!;
			events.write('peer-message-malformed', {from: fromId, kind, reason: `${path.join('.')}: ${message}`});
		}
	}

	function reportRows(fromId: string, kind: string, badRows: readonly BadRow[]): void {
		const loggedRows = takeLogTurn(fromId, kind) ? badRows.slice(0, maxLoggedRows) : [];
		reportBadRows({events, metrics}, {from: fromId, kind}, loggedRows);
		metrics.increment('peer-row-dropped', badRows.length - loggedRows.length);
	}

	function parse<Schema extends z.ZodType>(schema: Schema, fromId: string, message: PeerMessage): ParsedMessage<z.output<Schema>> | undefined {
		const parsed = parseWithoutBadRows(schema, message, lossyLists.get(message.kind) ?? []);
		if (!parsed.success) {
			reportMalformed(fromId, message.kind, parsed.error);
			return undefined;
		}

		const hasLostRows = parsed.badRows.length > 0;
		if (hasLostRows) {
			reportRows(fromId, message.kind, parsed.badRows);
		}

		return {message: parsed.data, hasLostRows};
	}

	return {
		parsePlacementMessage: (fromId, message) => parse(placementMessageSchema, fromId, message),
		parseClusterMessage: (fromId, message) => parse(clusterMessageSchema, fromId, message),
	};
}
