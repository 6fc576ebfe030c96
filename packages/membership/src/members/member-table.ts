import type {TimerService} from '@camphortack/core';
import {getDigest} from '../utils/get-digest.js';
import {memberStates, type MemberRecord, type ZoneRecord} from '../messages/membership-messages.js';

/** What this daemon knows of all daemons and availability zones. */
export type MemberTable = {
	/** Takes a record in if it is newer than what is known; says whether it was. */
	addRecord(record: MemberRecord): boolean;
	addZoneRecord(record: ZoneRecord): boolean;
	findRecord(id: string): MemberRecord | undefined;
	findZoneRecord(zone: string): ZoneRecord | undefined;
	/** Gets the daemons of an availability zone that count as live, suspected ones included. */
	getLive(zone: string): MemberRecord[];
	getAll(): MemberRecord[];
	/** Gets a digest of the live daemons, whether suspected or not. */
	getDigest(): number;
	getZoneRecords(): ZoneRecord[];
	/** Gets the availability zones of which any daemon is known. */
	getZones(): string[];
	/** Forgets daemons that have been gone for long. */
	removeOld(): void;
};

/** A daemon that is gone is remembered for this long, so that late messages do not bring it back. */
const goneLifetimeMs = 600_000;

/** Creates an empty table. */
export function createMemberTable(timers: TimerService): MemberTable {
	const records = new Map<string, MemberRecord>();
	const changedAtMs = new Map<string, number>();
	const zoneRecords = new Map<string, ZoneRecord>();
	let digest: number | undefined;

	function addRecord(record: MemberRecord): boolean {
		const known = records.get(record.id);
		if (known !== undefined && !isNewer(record, known)) {
			return false;
		}

		records.set(record.id, record);
		changedAtMs.set(record.id, timers.getNowMs());
		digest = undefined;
		return true;
	}

	function addZoneRecord(record: ZoneRecord): boolean {
		const known = zoneRecords.get(record.zone);
		if (known !== undefined && record.counter <= known.counter) {
			return false;
		}

		zoneRecords.set(record.zone, record);
		return true;
	}

	function removeOld(): void {
		const oldestMs = timers.getNowMs() - goneLifetimeMs;
		for (const record of records.values()) {
			if (!isLive(record) && changedAtMs.get(record.id)! < oldestMs) {
				records.delete(record.id);
				changedAtMs.delete(record.id);
			}
		}
	}

	return {
		addRecord,
		addZoneRecord,
		findRecord: id => records.get(id),
		findZoneRecord: zone => zoneRecords.get(zone),
		getLive: zone => [...records.values()].filter(record => record.availabilityZone === zone && isLive(record)),
		getAll: () => [...records.values()],
		getDigest() {
			digest ??= getMembersDigest([...records.values()]);
			return digest;
		},
		getZoneRecords: () => [...zoneRecords.values()],
		getZones: () => [...new Set([...records.values()].map(record => record.availabilityZone))],
		removeOld,
	};
}

/** Whether a daemon counts as a member. */
export function isLive(record: MemberRecord): boolean {
	return record.state === 'alive' || record.state === 'suspected';
}

/**
 * Gets a digest of the live ones among some daemons.
 * @param records - The daemons, in any order.
 */
export function getMembersDigest(records: readonly MemberRecord[]): number {
	const names = records.filter(record => isLive(record)).map(({id, incarnation, counter}) => `${id} ${incarnation} ${counter}`);
	return getDigest(names.toSorted((left, right) => left < right ? -1 : 1).join('\n'));
}

function isNewer(record: MemberRecord, known: MemberRecord): boolean {
	if (record.counter !== known.counter) {
		return record.counter > known.counter;
	}

	return memberStates.indexOf(record.state) > memberStates.indexOf(known.state);
}
