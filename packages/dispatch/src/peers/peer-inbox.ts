import {
	createBadRowLog, parseWithoutBadRows, type EventLog, type MetricSink, type PeerMessage, type TimerService,
} from '@camphortack/core';
import {dispatchMessageSchema, type DispatchMessage} from '../messages/dispatch-messages.js';

export type PeerInboxOptions = {
	timers: TimerService;
	metrics: MetricSink;
	events: EventLog;
	onMessage: (fromPeerId: string, message: DispatchMessage) => void;
};

/** Receives messages from other daemons and validates them. */
export type PeerInbox = {
	/** Passes a valid message on; counts and drops a malformed one. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
};

/**
 * The lists that may lose rows, as nothing follows from the absence of a row: a backend server that is not announced here is
 * announced again, slots that are not released are taken over when the lease has expired, and outcomes are queried again.
 * The tasks of a job and the parts of an outcome must be complete.
 */
const tolerantLists = ['announcements', 'loads', 'servers', 'sequences'];

export function createPeerInbox({timers, metrics, events, onMessage}: PeerInboxOptions): PeerInbox {
	const badRowLog = createBadRowLog({timers, events, metrics});

	return {
		handlePeerMessage(fromPeerId, message) {
			metrics.increment('peer-received');
			const parsed = parseWithoutBadRows(dispatchMessageSchema, message, tolerantLists);
			if (!parsed.success) {
				metrics.increment('dispatch-malformed');
				return;
			}

			badRowLog.report({from: fromPeerId, kind: message.kind}, parsed.badRows);
			onMessage(fromPeerId, parsed.data);
		},
	};
}
