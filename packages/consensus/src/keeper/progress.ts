import type {KeeperRecord} from './keeper-set.js';
import type {EncodedState} from './snapshot-transfer.js';

/** What the leader knows of another keeper. */
export type Progress = {
	record: KeeperRecord;
	/** The next entry to send. */
	nextIndex: number;
	/** The last entry that is synced there. */
	matchIndex: number;
	/** The last round that it answered. */
	acknowledgedRound: number;
	lastResponseMs: number;
	lastSentMs: number;
	/** Since when it lacks a committed entry, as far as the leader knows. */
	behindSinceMs?: number;
	/** The snapshot that it is being sent. */
	transfer?: {state: EncodedState; offset: number};
};

/**
 * Creates what the leader knows of a keeper at first.
 * @param record - The keeper.
 * @param lastIndex - The leader's last index.
 * @param nowMs - The present time; the keeper counts as heard.
 */
export function createProgress(record: KeeperRecord, lastIndex: number, nowMs: number): Progress {
	return {
		record,
		nextIndex: lastIndex + 1,
		matchIndex: 0,
		acknowledgedRound: 0,
		lastResponseMs: nowMs,
		lastSentMs: Number.NEGATIVE_INFINITY,
		behindSinceMs: Number.NEGATIVE_INFINITY,
	};
}
