import {z} from 'zod';
import {peerMessageSchema, type PeerMessage} from '@camphortack/core';
import {crashRecordSchema} from '@camphortack/placement';

const earlierRecordsSchema = crashRecordSchema.omit({
	runNumber: true, evidence: true, state: true, isNew: true,
}).array();

const handoverFieldsSchema = z.object({handover: z.looseObject({}).optional()});

/**
 * Gets a message as a daemon of 0a63e12 sends it, and as it understands one: without the fields that it does not know. Undefined if it does
 * not know the kind of the message.
 * @param message - The message of the current version.
 */
export function toEarlierMessage(message: PeerMessage): PeerMessage | undefined {
	switch (message.kind) {
		case 'cluster.heartbeat': {
			return getWithout(message, 'usesRecords');
		}

		case 'cluster.crashes': {
			return {...message, records: earlierRecordsSchema.parse(message.records)};
		}

		case 'cluster.relay':
		case 'cluster.relayed': {
			const inner = toEarlierMessage(peerMessageSchema.parse(message.message));
			return inner === undefined ? undefined : {...message, message: inner};
		}

		case 'placement.cancel': {
			return {kind: message.kind, jobId: message.jobId};
		}

		case 'placement.open-jobs': {
			return {kind: message.kind, jobIds: message.jobIds};
		}

		case 'placement.submit': {
			const {handover} = handoverFieldsSchema.parse(message);
			const submission = getWithout(getWithout(message, 'incarnation'), 'sequence');
			return handover === undefined ? submission : {...submission, handover: {...handover, recordDigest: undefined}};
		}

		case 'placement.record-servers':
		case 'placement.servers-recorded':
		case 'placement.record-request':
		case 'placement.record': {
			return undefined;
		}

		default: {
			return message;
		}
	}
}

function getWithout(message: PeerMessage, field: string): PeerMessage {
	return {...message, [field]: undefined};
}
