import assert from 'node:assert/strict';
import type {RecordLog} from '@camphortack/storage';

type Entry = {index: number; term: number; command: unknown};

/** Checks that all keepers commit the same entry at each index, based on the records that they write to their logs. */
export class CommittedEntries {
	readonly #agreed = new Map<number, string>();

	/** Wraps the log of a keeper to observe the records that it writes. */
	watch(log: RecordLog): RecordLog {
		const own = new Map<number, Entry>();
		const handleRecord = (record: unknown) => {
			if (isEntriesRecord(record)) {
				for (const entry of record.entries) {
					own.set(entry.index, entry);
				}
			} else if (isCommitRecord(record)) {
				this.#addCommitted(own, record.index);
			}
		};

		for (const record of log.getRecords()) {
			handleRecord(record);
		}

		return {
			...log,
			append(record, onSynced) {
				handleRecord(record);
				log.append(record, onSynced);
			},
		};
	}

	#addCommitted(own: Map<number, Entry>, commitIndex: number): void {
		for (const [index, entry] of own) {
			if (index <= commitIndex) {
				const text = JSON.stringify([entry.term, entry.command]);
				assert.equal(text, this.#agreed.get(index) ?? text, `two keepers committed different entries at ${index}`);
				this.#agreed.set(index, text);
				own.delete(index);
			}
		}
	}
}

function isEntriesRecord(record: unknown): record is {entries: Entry[]} {
	return typeof record === 'object' && record !== null && 'entries' in record && 'type' in record && record.type === 'entries';
}

function isCommitRecord(record: unknown): record is {index: number} {
	return typeof record === 'object' && record !== null && 'type' in record && record.type === 'commit';
}
