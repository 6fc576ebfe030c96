import {
	createBadRowLog, parseWithoutBadRows, type EventLog, type MetricSink, type PeerMessage, type TimerService,
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
	/** Gets the highest term that this daemon knows of. */
	getTerm: () => number;
};

/**
 * How far the term of a heartbeat may be ahead of the known one. An election raises it by 1, or by 64, so that no daemon is ever
 * that far behind; a larger lead could leave no terms for the elections that follow.
 */
const maxTermLead = 1_000_000;

/**
 * The lists that lose rows which do not match the schema, by the kind of the message. Each of their rows is a statement of its
 * own. Other lists must be complete: a job that is missing among those that a daemon waits for, or an evacuated availability
 * zone that is missing, would mean something.
 */
const tolerantLists = new Map<string, string[]>([
	['cluster.heartbeat', ['memberIds']],
	['cluster.registry', ['descriptions']],
	['cluster.crashes', ['records']],
	['placement.not-begun', ['jobIds']],
	['placement.unknown-jobs', ['jobIds']],
]);

/**
 * Creates the parser.
 * @param options - The clock and the sinks.
 *
 * @example
 * ```ts
 * const parser = createMessageParser({timers, events, metrics, getTerm: () => 7});
 * parser.parseClusterMessage('10.0.0.1', {kind: 'cluster.crashes', records: [record, {taskName: 7}]}); // {message: {kind, records: [record]}, hasLostRows: true}
 * ```
 */
export function createMessageParser({timers, events, metrics, getTerm}: MessageParserOptions): MessageParser {
	const badRowLog = createBadRowLog({timers, events, metrics});

	function reportMalformed(fromId: string, kind: string, reason: string): void {
		metrics.increment('peer-malformed');
		if (badRowLog.takeLogTurn({from: fromId, kind})) {
			events.write('peer-message-malformed', {from: fromId, kind, reason});
		}
	}

	function parse<Schema extends z.ZodType>(schema: Schema, fromId: string, message: PeerMessage): ParsedMessage<z.output<Schema>> | undefined {
		const parsed = parseWithoutBadRows(schema, message, tolerantLists.get(message.kind) ?? []);
		if (!parsed.success) {
			const [issue] = parsed.error.issues;
			reportMalformed(fromId, message.kind, `${issue!.path.join('.')}: ${issue!.message}`);
			return undefined;
		}

		badRowLog.report({from: fromId, kind: message.kind}, parsed.badRows);
		return {message: parsed.data, hasLostRows: parsed.badRows.length > 0};
	}

	return {
		parsePlacementMessage: (fromId, message) => parse(placementMessageSchema, fromId, message),
		parseClusterMessage(fromId, message) {
			const parsed = parse(clusterMessageSchema, fromId, message);
			if (parsed?.message.kind === 'cluster.heartbeat' && parsed.message.term - getTerm() > maxTermLead) {
				reportMalformed(fromId, message.kind, `term: ${parsed.message.term} is too far ahead`);
				return undefined;
			}

			return parsed;
		},
	};
}
