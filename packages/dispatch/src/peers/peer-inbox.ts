import type {MetricSink, PeerMessage} from '@camphortack/core';
import {dispatchMessageSchema, type DispatchMessage} from '../messages/dispatch-messages.js';

export type PeerInboxOptions = {
	metrics: MetricSink;
	onMessage: (fromPeerId: string, message: DispatchMessage) => void;
};

/** Takes messages of other daemons in, each checked against its schema. */
export type PeerInbox = {
	/** Handles a message; a malformed one is counted and dropped. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
};

/**
 * Creates the inbox.
 * @param options - Where messages and counters go.
 */
export function createPeerInbox({metrics, onMessage}: PeerInboxOptions): PeerInbox {
	return {
		handlePeerMessage(fromPeerId, message) {
			metrics.increment('peer-received');
			const parsed = dispatchMessageSchema.safeParse(message);
			if (parsed.success) {
				onMessage(fromPeerId, parsed.data);
			} else {
				metrics.increment('dispatch-malformed');
			}
		},
	};
}
