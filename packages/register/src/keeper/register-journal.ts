import type {TimerService} from '@camphortack/core';
import type {RecordLog} from '@camphortack/storage';
import {registerLogRecordSchema, type RegisterLogRecord} from './register-log-record.js';
import type {RegisterState} from './register-state.js';

export type RegisterJournalOptions = {
	log: RecordLog;
	state: RegisterState;
	timers: TimerService;
	/** A snapshot is written after this many log records, but not before their number is twice that of the job records. */
	recordsPerSnapshot: number;
};

/** A snapshot is written at opening if the log has at least `recordsPerSnapshot` divided by this many records. */
const snapshotAtOpenDivisor = 5;

/** Applies changes to the state and appends them to the log. */
export type RegisterJournal = {
	/** Gets the register's time, which does not advance while the keeper is stopped. */
	getNowMs(): number;
	/** Applies a record to the state and appends it to the log. */
	write(record: RegisterLogRecord, onSynced?: () => void): void;
	/** Replaces the log with a snapshot of the current state. */
	writeSnapshot(): void;
	/** Invokes the callback once all records written so far are durable. */
	flush(onSynced: () => void): void;
};

/**
 * Replays the log into the state and creates the journal for further changes.
 * @param options - The log and the state.
 */
export function createRegisterJournal(options: RegisterJournalOptions): RegisterJournal {
	const {
		log, state, timers, recordsPerSnapshot,
	} = options;
	let recordsSinceSnapshot = log.getRecords().length;
	const snapshot = log.getSnapshot();
	const snapshotRecords: readonly unknown[] = Array.isArray(snapshot) ? snapshot.flat() : [];
	for (const record of [...snapshotRecords, ...log.getRecords()]) {
		state.apply(registerLogRecordSchema.parse(record));
	}

	const clockOffsetMs = state.getLatestAtMs() - timers.getNowMs();
	const getNowMs = () => clockOffsetMs + timers.getNowMs();

	function write(record: RegisterLogRecord, onSynced?: () => void): void {
		state.apply(record);
		log.append(record, onSynced);
		recordsSinceSnapshot++;
		if (recordsSinceSnapshot >= Math.max(recordsPerSnapshot, 2 * state.records.getCount())) {
			writeSnapshot();
		}
	}

	function writeSnapshot(): void {
		recordsSinceSnapshot = 0;
		state.records.dropExpired(getNowMs());
		log.writeSnapshotInParts(state.getLogRecordParts());
	}

	if (recordsSinceSnapshot >= recordsPerSnapshot / snapshotAtOpenDivisor) {
		// Lets the log free the records it read at opening, which the state also holds in memory.
		writeSnapshot();
	}

	return {
		getNowMs,
		write,
		writeSnapshot,
		flush(onSynced) {
			write({kind: 'tick', atMs: getNowMs()}, onSynced);
		},
	};
}
