import type {MembershipSeed, MembershipStatus, MemberStatus} from './membership.js';
import {isLive} from './table/member-record.js';
import type {MemberTable} from './table/member-table.js';
import type {ZoneLinks} from './zones/zone-links.js';

/**
 * Gets the status of all daemons and availability zones for operators.
 * @param table - The member table.
 * @param links - The links to other availability zones.
 * @param seeds - The daemons listed in the settings.
 */
export function getMembershipStatus(table: MemberTable, links: ZoneLinks, seeds: readonly MembershipSeed[]): MembershipStatus {
	const zones = [table.getOwn().availabilityZone, ...links.getOtherZones()].map(availabilityZone => ({
		availabilityZone,
		isReachable: links.isReachable(availabilityZone),
		liveDaemons: table.getLiveIds(availabilityZone).length,
	}));
	const known = zones.flatMap(({availabilityZone, isReachable}) => table.getZoneRecords(availabilityZone)
		.map((record): MemberStatus => ({
			id: record.id,
			incarnation: record.incarnation,
			availabilityZone,
			isAlive: isReachable && isLive(record),
			state: record.state,
		})));
	const neverHeard = seeds.filter(seed => table.findRecord(seed.id) === undefined).map(({id, availabilityZone}): MemberStatus => ({
		id, incarnation: undefined, availabilityZone, isAlive: false, state: 'never-heard',
	}));
	return {members: [...known, ...neverHeard], zones};
}
