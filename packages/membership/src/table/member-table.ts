import {hashText, type Member, type TimerService} from '@camphortack/core';
import {deadRetentionMs} from '../membership-timings.js';
import {
	getMember, isLive, isNewer, type MemberRecord,
} from './member-record.js';

export type MemberTableOptions = {
	ownRecord: MemberRecord;
	timers: TimerService;
	/** Called after a record is added or replaced. */
	onChange: (record: MemberRecord, previous: MemberRecord | undefined) => void;
};

/** The records of all known daemons, including this one. */
export type MemberTable = {
	/** Stores a record if it is newer than the known one. Returns whether it was stored. */
	merge(record: MemberRecord): boolean;
	/** Replaces the record of this daemon. */
	setOwn(record: MemberRecord): void;
	getOwn(): MemberRecord;
	findRecord(id: string): MemberRecord | undefined;
	/** Gets all records of an availability zone, including those of dead daemons. */
	getZoneRecords(availabilityZone: string): MemberRecord[];
	/** Gets the live daemons of an availability zone, sorted by id. */
	getLiveIds(availabilityZone: string): readonly string[];
	getZones(): string[];
	getDeadIds(availabilityZone: string): string[];
	getMembers(): readonly Member[];
	/** Gets a hash of the live records of an availability zone. It does not depend on their order. */
	getDigest(availabilityZone: string): number;
	/** Incremented with each change of the live daemons. */
	getVersion(): number;
	/** Removes the records of daemons that died or left longer ago than the retention time. */
	removeExpired(): void;
};

type ZoneEntry = {
	records: Map<string, MemberRecord>;
	liveIds: readonly string[] | undefined;
	digest: number | undefined;
};

/**
 * Creates the member table.
 * @param options - The record of this daemon, the timers and the change callback.
 */
export function createMemberTable({ownRecord, timers, onChange}: MemberTableOptions): MemberTable {
	const zones = new Map<string, ZoneEntry>();
	const zoneById = new Map<string, string>();
	const deadSinceMs = new Map<string, number>();
	let own = ownRecord;
	let version = 0;
	let members: readonly Member[] | undefined;

	function findRecord(id: string): MemberRecord | undefined {
		const zone = zoneById.get(id);
		return zone === undefined ? undefined : zones.get(zone)?.records.get(id);
	}

	function put(record: MemberRecord): void {
		const previous = findRecord(record.id);
		if (previous !== undefined && previous.availabilityZone !== record.availabilityZone) {
			remove(previous);
		}

		const entry = getZoneEntry(record.availabilityZone);
		entry.records.set(record.id, record);
		zoneById.set(record.id, record.availabilityZone);
		updateDeadSince(record);
		entry.digest = undefined;
		if (previous === undefined || getMemberKey(previous) !== getMemberKey(record)) {
			invalidateCaches(entry);
		}

		onChange(record, previous);
	}

	function getZoneEntry(availabilityZone: string): ZoneEntry {
		const entry = zones.get(availabilityZone) ?? {records: new Map(), liveIds: undefined, digest: undefined};
		zones.set(availabilityZone, entry);
		return entry;
	}

	function updateDeadSince(record: MemberRecord): void {
		if (isLive(record)) {
			deadSinceMs.delete(record.id);
		} else {
			deadSinceMs.set(record.id, timers.getNowMs());
		}
	}

	function invalidateCaches(entry: ZoneEntry): void {
		entry.liveIds = undefined;
		entry.digest = undefined;
		members = undefined;
		version++;
	}

	function remove(record: MemberRecord): void {
		const entry = getZoneEntry(record.availabilityZone);
		entry.records.delete(record.id);
		zoneById.delete(record.id);
		deadSinceMs.delete(record.id);
		invalidateCaches(entry);
		if (entry.records.size === 0) {
			zones.delete(record.availabilityZone);
		}
	}

	function getLiveIds(availabilityZone: string): readonly string[] {
		const entry = zones.get(availabilityZone);
		if (entry === undefined) {
			return [];
		}

		entry.liveIds ??= getLiveRecords(entry).map(record => record.id).toSorted((left, right) => left < right ? -1 : 1);
		return entry.liveIds;
	}

	function getDigest(availabilityZone: string): number {
		const entry = zones.get(availabilityZone);
		if (entry === undefined) {
			return 0;
		}

		entry.digest ??= computeDigest(getLiveRecords(entry));
		return entry.digest;
	}

	put(ownRecord);
	return {
		merge(record) {
			const known = findRecord(record.id);
			if (known !== undefined && !isNewer(record, known)) {
				return false;
			}

			put(record);
			return true;
		},
		setOwn(record) {
			own = record;
			put(record);
		},
		getOwn: () => own,
		findRecord,
		getZoneRecords: availabilityZone => [...(zones.get(availabilityZone)?.records.values() ?? [])],
		getLiveIds,
		getZones: () => [...zones.keys()],
		getDeadIds: availabilityZone => [...(zones.get(availabilityZone)?.records.values() ?? [])]
			.filter(record => record.state === 'dead').map(record => record.id),
		getMembers() {
			members ??= [...zones.values()].flatMap(entry => getLiveRecords(entry).map(record => getMember(record)));
			return members;
		},
		getDigest,
		getVersion: () => version,
		removeExpired() {
			for (const [id, sinceMs] of deadSinceMs) {
				const record = findRecord(id);
				if (record !== undefined && id !== own.id && timers.getNowMs() - sinceMs > deadRetentionMs) {
					remove(record);
				}
			}
		},
	};
}

function getLiveRecords(entry: ZoneEntry): MemberRecord[] {
	return [...entry.records.values()].filter(record => isLive(record));
}

function getMemberKey(record: MemberRecord): string {
	return isLive(record) ? `${record.id} ${record.incarnation} ${record.host} ${record.peerPort}` : '';
}

/** Sums the hashes of the records modulo 2³², so that the order of the records does not matter. */
function computeDigest(records: readonly MemberRecord[]): number {
	let digest = records.length;
	for (const record of records) {
		digest += hashText(`${getMemberKey(record)} ${record.counter}`);
	}

	return digest % 0x1_00_00_00_00;
}
