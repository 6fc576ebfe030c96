import {getPartition} from '../partitions/assignment.js';
import {createOutcomeStore, type OutcomeStore} from '../outcomes/outcome-store.js';
import {createJobRecords, type JobRecords} from './job-records.js';
import type {RegisterLogRecord, RegisterLogRecordOf} from './register-log-record.js';

/** What a keeper durably knows of a partition. */
export type OwnedPartition = {
	/** `taken`: its records are here, but the previous owner has not released it yet. */
	state: 'owned' | 'taken';
	quarantineUntilMs: number;
};

/** The state that the register's log leads to. */
export type RegisterState = {
	readonly records: JobRecords;
	readonly outcomes: OutcomeStore;
	readonly heirs: ReadonlyMap<string, string>;
	readonly partitions: ReadonlyMap<number, OwnedPartition>;
	/** Changes the state as a record of the log says. */
	apply(record: RegisterLogRecord): void;
	/** Gets the records that lead to the present state. */
	getLogRecords(): RegisterLogRecord[];
	findEpoch(): RegisterLogRecordOf<'epoch'> | undefined;
	/** Gets the latest time of the register's clock in the log. */
	getLatestAtMs(): number;
};

export type RegisterStateOptions = {
	retentionMs: number;
	mostOutcomeBytes: number;
};

/** How many planned stops are remembered. */
const mostHeirs = 1000;

/**
 * Creates the state of a register without records.
 * @param options - The bounds.
 */
export function createRegisterState(options: RegisterStateOptions): RegisterState {
	const records = createJobRecords(options.retentionMs);
	const outcomes = createOutcomeStore(options.mostOutcomeBytes);
	const heirs = new Map<string, string>();
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

	function applyHeir(record: RegisterLogRecordOf<'heir'>): void {
		heirs.delete(record.incarnation);
		heirs.set(record.incarnation, record.heirId);
		const [oldest] = heirs.keys();
		if (heirs.size > mostHeirs && oldest !== undefined) {
			heirs.delete(oldest);
		}
	}

	function getJobLogRecords(): RegisterLogRecord[] {
		const logRecords: RegisterLogRecord[] = [];
		for (const {id, record, atMs} of records.getRecords()) {
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
			logRecords.push(isEnded ? {kind: 'outcome', ...common, ...(outcome !== undefined && {outcome})} : {kind: 'claim', ...common, taskCount});
		}

		return logRecords;
	}

	return {
		records,
		outcomes,
		heirs,
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
					applyHeir(record);
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
		getLogRecords: () => [
			...(epoch === undefined ? [] : [epoch]),
			...[...partitions].map(([partition, owned]) => ({kind: 'partition' as const, partition, ...owned})),
			...[...heirs].map(([incarnation, heirId]) => ({kind: 'heir' as const, incarnation, heirId})),
			...getJobLogRecords(),
			...[...records.getClaimants()].filter(claimant => claimant.isGone).map(claimant => ({kind: 'process' as const, ...claimant})),
			{kind: 'tick', atMs: latestAtMs},
		],
		findEpoch: () => epoch,
		getLatestAtMs: () => latestAtMs,
	};
}
