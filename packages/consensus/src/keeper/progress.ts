import type {KeeperRecord} from './keeper-set.js';
import type {EncodedState} from './snapshot-transfer.js';

/** The replication progress of another keeper, as known to the leader. */
export type Progress = {
	record: KeeperRecord;
	/** The index of the next entry to send. */
	nextIndex: number;
	/** The index of the last entry that the keeper has synced. */
	matchIndex: number;
	/** The last heartbeat round that the keeper responded to. */
	acknowledgedRound: number;
	lastResponseMs: number;
	lastSentMs: number;
	/** Whether the keeper has said in its last response that it is leaving. */
	isLeaving: boolean;
	/** Since when the keeper lacks a committed entry, as far as the leader knows. */
	behindSinceMs?: number;
	/** The snapshot that is being sent to the keeper. */
	transfer?: {state: EncodedState; offset: number};
};

/**
 * Creates the initial progress of a keeper.
 * @param record - The keeper.
 * @param lastIndex - The leader's last index.
 * @param nowMs - The current time, which counts as the last response of the keeper.
 */
export function createProgress(record: KeeperRecord, lastIndex: number, nowMs: number): Progress {
	return {
		record,
		nextIndex: lastIndex + 1,
		matchIndex: 0,
		acknowledgedRound: 0,
		lastResponseMs: nowMs,
		lastSentMs: Number.NEGATIVE_INFINITY,
		isLeaving: false,
		behindSinceMs: Number.NEGATIVE_INFINITY,
	};
}
