import type {Member} from '@camphortack/core';
import {getRendezvousWinner} from '../utils/get-rendezvous-winner.js';

/** Which daemon manages the shares of a dimension in each availability zone. */
export type ZoneManagers = {
	setMembers(members: readonly Member[]): void;
	/** Leaves a daemon out that is stopping. */
	removeMember(id: string, incarnation: string): void;
	/** Finds the share manager of an availability zone. */
	findManager(key: string, zone: string): string | undefined;
	getZones(): ReadonlySet<string>;
	getZoneMembers(zone: string): readonly Member[];
};

/** Creates the assignment, with no members. */
export function createZoneManagers(): ZoneManagers {
	const farewells = new Map<string, string>();
	let membersByZone = new Map<string, Member[]>();
	let zones: ReadonlySet<string> = new Set();
	let managerByKey = new Map<string, string | undefined>();

	function setMembers(members: readonly Member[]): void {
		membersByZone = new Map();
		managerByKey = new Map();
		const present = new Map(members.map(member => [member.id, member.incarnation]));
		for (const [id, incarnation] of farewells) {
			if (present.get(id) !== incarnation) {
				farewells.delete(id);
			}
		}

		for (const member of members) {
			if (member.roles.includes('entry') && farewells.get(member.id) !== member.incarnation) {
				const zoneMembers = membersByZone.get(member.availabilityZone) ?? [];
				zoneMembers.push(member);
				membersByZone.set(member.availabilityZone, zoneMembers);
			}
		}

		zones = new Set(membersByZone.keys());
	}

	function removeMember(id: string, incarnation: string): void {
		farewells.set(id, incarnation);
		managerByKey = new Map();
		for (const [zone, members] of membersByZone) {
			membersByZone.set(zone, members.filter(member => member.id !== id || member.incarnation !== incarnation));
		}
	}

	function findManager(key: string, zone: string): string | undefined {
		const cacheKey = `${zone} ${key}`;
		if (!managerByKey.has(cacheKey)) {
			const ids = getZoneMembers(zone).map(member => member.id);
			managerByKey.set(cacheKey, getRendezvousWinner(key, ids));
		}

		return managerByKey.get(cacheKey);
	}

	function getZoneMembers(zone: string): readonly Member[] {
		return membersByZone.get(zone) ?? [];
	}

	return {
		setMembers,
		removeMember,
		findManager,
		getZones: () => zones,
		getZoneMembers,
	};
}
