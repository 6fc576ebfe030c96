import type {KeeperStore} from './keeper-store.js';
import {maxBytesPerMessage, maxEntriesPerMessage} from './keeper-timings.js';
import {getEntrySizeBytes, type LogEntry} from './log-entry.js';

/**
 * Gets as many entries as fit into one message, and at least one if there are any.
 * @param store - The store that holds the entries.
 * @param fromIndex - The index of the first entry.
 * @param toIndex - The index of the last entry that may be sent.
 */
export function getEntryBatch(store: KeeperStore, fromIndex: number, toIndex: number): LogEntry[] {
	const batch: LogEntry[] = [];
	let sizeBytes = 0;
	for (const entry of store.getEntries(fromIndex, Math.min(maxEntriesPerMessage, Math.max(0, toIndex - fromIndex + 1)))) {
		sizeBytes += getEntrySizeBytes(entry);
		if (batch.length > 0 && sizeBytes > maxBytesPerMessage) {
			break;
		}

		batch.push(entry);
	}

	return batch;
}
