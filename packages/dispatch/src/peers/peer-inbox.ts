import type {MetricSink, PeerMessage} from '@camphortack/core';
import {dispatchMessageSchema, type DispatchMessage} from '../messages/dispatch-messages.js';

export type PeerInboxOptions = {
	metrics: MetricSink;
	onMessage: (fromPeerId: string, message: DispatchMessage) => void;
};

/** Receives messages from other daemons and validates them. */
export type PeerInbox = {
	/** Passes a valid message on; counts and drops a malformed one. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
};

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
