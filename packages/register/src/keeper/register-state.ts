import {getPartition} from '../partitions/assignment.js';
import {createOutcomeStore, type OutcomeStore} from '../outcomes/outcome-store.js';
import {createJobRecords, type JobRecord, type JobRecords} from './job-records.js';
import type {RegisterLogRecord, RegisterLogRecordOf} from './register-log-record.js';

/** The persisted state of a partition at a keeper. */
export type OwnedPartition = {
	/** `taken`: the records have been transferred, but the previous owner has not released the partition yet. */
	state: 'owned' | 'taken';
	quarantineUntilMs: number;
};

/** The register's state, built by replaying its log. */
export type RegisterState = {
	readonly records: JobRecords;
	readonly outcomes: OutcomeStore;
	/** By incarnation, the daemon that took over its tickets at a planned stop. */
	readonly successors: ReadonlyMap<string, string>;
	readonly partitions: ReadonlyMap<number, OwnedPartition>;
	/** Applies a log record to the state. */
	apply(record: RegisterLogRecord): void;
	/** Yields the log records that reproduce the current state, in parts. Changes made during iteration may appear in later parts. */
	getLogRecordParts(): Iterable<RegisterLogRecord[]>;
	findEpoch(): RegisterLogRecordOf<'epoch'> | undefined;
	/** Gets the latest timestamp in the log. */
	getLatestAtMs(): number;
};

export type RegisterStateOptions = {
	retentionMs: number;
	maxOutcomeBytes: number;
};

/** Number of planned stops whose successors are kept. */
const maxSuccessors = 1000;
/** Number of records that a snapshot encodes per turn of the event loop. */
const recordsPerPart = 500;

/**
 * Creates the state of an empty register.
 * @param options - The limits.
 */
export function createRegisterState(options: RegisterStateOptions): RegisterState {
	const records = createJobRecords(options.retentionMs);
	const outcomes = createOutcomeStore(options.maxOutcomeBytes);
	const successors = new Map<string, string>();
	const partitions = new Map<number, OwnedPartition>();
	let epoch: RegisterLogRecordOf<'epoch'> | undefined;
	let latestAtMs = 0;

	function applyClaim(record: RegisterLogRecordOf<'claim'>): void {
		const {
			id, contentHash, claim, taskCount, atMs,
		} = record;
		const claimant = records.getClaimant(record.daemonId, record.incarnation);
		records.setRecord(id, {
			contentHash,
			claimant,
			claim,
			taskCount,
			isEnded: false,
		}, atMs);
		outcomes.setOutcome(id, undefined);
	}

	function applyOutcome(record: RegisterLogRecordOf<'outcome'>): void {
		const {
			id, contentHash, claim, atMs,
		} = record;
		const claimant = records.getClaimant(record.daemonId, record.incarnation);
		records.setRecord(id, {
			contentHash,
			claimant,
			claim,
			taskCount: 0,
			isEnded: true,
		}, atMs);
		outcomes.setOutcome(id, record.outcome);
	}

	function applyPartition(record: RegisterLogRecordOf<'partition'>): void {
		if (record.state !== 'none') {
			partitions.set(record.partition, {state: record.state, quarantineUntilMs: record.quarantineUntilMs});
			return;
		}

		partitions.delete(record.partition);
		for (const {id} of records.getRecords()) {
			if (getPartition(id) === record.partition) {
				records.removeRecord(id);
				outcomes.setOutcome(id, undefined);
			}
		}
	}

	function applySuccessor(record: RegisterLogRecordOf<'heir'>): void {
		successors.delete(record.incarnation);
		successors.set(record.incarnation, record.heirId);
		const [oldest] = successors.keys();
		if (successors.size > maxSuccessors && oldest !== undefined) {
			successors.delete(oldest);
		}
	}

	function * getLogRecords(): Iterable<RegisterLogRecord> {
		if (epoch !== undefined) {
			yield epoch;
		}

		for (const [partition, owned] of partitions) {
			yield {kind: 'partition', partition, ...owned};
		}

		for (const [incarnation, heirId] of successors) {
			yield {kind: 'heir', incarnation, heirId};
		}

		for (const {id, record, atMs} of records.getRecords()) {
			yield getJobLogRecord(id, record, atMs);
		}

		for (const claimant of records.getClaimants()) {
			yield {kind: 'process', ...claimant};
		}

		yield {kind: 'tick', atMs: latestAtMs};
	}

	function getJobLogRecord(id: string, record: JobRecord, atMs: number): RegisterLogRecord {
		const {
			contentHash, claim, taskCount, isEnded, claimant: {daemonId, incarnation},
		} = record;
		const common = {
			atMs,
			id,
			contentHash,
			daemonId,
			incarnation,
			claim,
		};
		const outcome = isEnded ? outcomes.findOutcome(id) : undefined;
		return isEnded ? {kind: 'outcome', ...common, ...(outcome !== undefined && {outcome})} : {kind: 'claim', ...common, taskCount};
	}

	return {
		records,
		outcomes,
		successors,
		partitions,
		apply(record) {
			if ('atMs' in record) {
				latestAtMs = Math.max(latestAtMs, record.atMs);
			}

			switch (record.kind) {
				case 'epoch': {
					epoch = record;
					break;
				}

				case 'claim': {
					applyClaim(record);
					break;
				}

				case 'outcome': {
					applyOutcome(record);
					break;
				}

				case 'release': {
					records.removeRecord(record.id);
					break;
				}

				case 'process': {
					records.getClaimant(record.daemonId, record.incarnation).isGone = record.isGone;
					break;
				}

				case 'heir': {
					applySuccessor(record);
					break;
				}

				case 'partition': {
					applyPartition(record);
					break;
				}

				case 'tick': {
					break;
				}
			}
		},
		* getLogRecordParts() {
			let part: RegisterLogRecord[] = [];
			for (const record of getLogRecords()) {
				part.push(record);
				if (part.length === recordsPerPart) {
					yield part;
					part = [];
				}
			}

			yield part;
		},
		findEpoch: () => epoch,
		getLatestAtMs: () => latestAtMs,
	};
}
