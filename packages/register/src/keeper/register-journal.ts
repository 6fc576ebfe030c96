import type {TimerService} from '@camphortack/core';
import type {RecordLog} from '@camphortack/storage';
import {registerLogRecordSchema, type RegisterLogRecord} from './register-log-record.js';
import type {RegisterState} from './register-state.js';

export type RegisterJournalOptions = {
	log: RecordLog;
	state: RegisterState;
	timers: TimerService;
	/** A snapshot is written after this many records, if they are also more than twice those kept. */
	recordsPerSnapshot: number;
};

/** A log that grew to this part of what a snapshot waits for is replaced by one at opening. */
const snapshotAtOpenDivisor = 5;

/** Keeps the state and its log in step. */
export type RegisterJournal = {
	/** Gets the register's clock, which stands still while the keeper does not run. */
	getNowMs(): number;
	/** Changes the state and writes the change. */
	write(record: RegisterLogRecord, onSynced?: () => void): void;
	/** Replaces the log by the present state. */
	writeSnapshot(): void;
	/** Calls back once everything written so far is durable. */
	flush(onSynced: () => void): void;
};

/**
 * Brings the state to where its log ends, and writes what follows.
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
		// The log then lets go of what it found, which the state holds as well.
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
