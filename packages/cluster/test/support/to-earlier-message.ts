import {peerMessageSchema, type PeerMessage} from '@camphortack/core';
import {crashRecordSchema} from '@camphortack/placement';

const earlierRecordsSchema = crashRecordSchema.omit({
	runNumber: true, evidence: true, state: true, isNew: true,
}).array();

/**
 * Gets a message as a daemon of 0a63e12 sends it, and as it understands one: without the fields that it does not know.
 * @param message - The message of the current version.
 */
export function toEarlierMessage(message: PeerMessage): PeerMessage {
	switch (message.kind) {
		case 'cluster.crashes': {
			return {...message, records: earlierRecordsSchema.parse(message.records)};
		}

		case 'cluster.relay':
		case 'cluster.relayed': {
			return {...message, message: toEarlierMessage(peerMessageSchema.parse(message.message))};
		}

		case 'placement.cancel': {
			return {kind: message.kind, jobId: message.jobId};
		}

		case 'placement.open-jobs': {
			return {kind: message.kind, jobIds: message.jobIds};
		}

		default: {
			return message;
		}
	}
}
