import type {MetricSink} from '@camphortack/core';
import type {FailureDetector} from '../detection/failure-detector.js';
import type {Gossip} from '../gossip/gossip.js';
import {isLive, isNewer, type MemberRecord} from '../table/member-record.js';
import type {MemberTable} from '../table/member-table.js';

export type RecordMergerOptions = {
	table: MemberTable;
	gossip: Gossip;
	detector: FailureDetector;
	metrics: MetricSink;
};

/** Merges records into the member table and disseminates the changes. */
export type RecordMerger = {
	/** Merges and disseminates a record whose state the failure detector of this daemon has changed. */
	mergeDetected(record: MemberRecord): void;
	/** Merges and disseminates a record received from another daemon. Returns false if it is not newer. */
	mergeRecord(record: MemberRecord, sourceId: string): boolean;
	/** Merges a record received in an exchange, which may be outdated. Returns false if it is not newer. */
	mergeTransferred(record: MemberRecord): boolean;
	disseminate(records: readonly MemberRecord[], sourceId: string): void;
};

/**
 * Creates the record merger.
 * @param options - The member table, the gossip, the failure detector and the metrics.
 */
export function createRecordMerger({table, gossip, detector, metrics}: RecordMergerOptions): RecordMerger {
	const ownId = table.getOwn().id;

	/** Refutes a record about this daemon, or about a previous process with the same id. */
	function refute(record: MemberRecord): boolean {
		const own = table.getOwn();
		const isMine = record.incarnation === own.incarnation && record.state === 'alive';
		if (isMine || !isNewer(record, own)) {
			return false;
		}

		metrics.increment('membership-refuted');
		table.setOwn({...own, counter: record.counter + 1});
		gossip.addRecord(table.getOwn(), undefined);
		return false;
	}

	/** Merges a record of a dead daemon as suspect and lets the failure detector verify it. */
	function mergeAsSuspect(record: MemberRecord): boolean {
		const isChanged = table.merge({...record, state: 'suspect'});
		if (isChanged || table.findRecord(record.id)?.counter === record.counter) {
			detector.verify(record.id);
		}

		return isChanged;
	}

	/** Whether a record declares a daemon of the own zone dead that is live in the member table. */
	function declaresLiveMemberDead(record: MemberRecord): boolean {
		const known = table.findRecord(record.id);
		const isInOwnZone = record.availabilityZone === table.getOwn().availabilityZone;
		return isInOwnZone && record.state === 'dead' && known !== undefined && isLive(known) && known.incarnation === record.incarnation;
	}

	function merge(record: MemberRecord, isTrusted: boolean): boolean {
		if (record.id === ownId) {
			return refute(record);
		}

		return declaresLiveMemberDead(record) && !isTrusted ? mergeAsSuspect(record) : table.merge(record);
	}

	function disseminate(records: readonly MemberRecord[], sourceId: string): void {
		for (const record of records) {
			const known = table.findRecord(record.id);
			if (known !== undefined && record.id !== ownId) {
				gossip.addRecord(known, sourceId);
			}
		}
	}

	return {
		mergeDetected(record) {
			if (table.merge(record)) {
				gossip.addRecord(record, undefined);
			}
		},
		mergeRecord(record, sourceId) {
			const isChanged = merge(record, !detector.hasRecentMessage(record.id));
			if (isChanged) {
				disseminate([record], sourceId);
			}

			return isChanged;
		},
		mergeTransferred: record => merge(record, false),
		disseminate,
	};
}
