import type {Member} from '@camphortack/core';
import {getRendezvousWinner} from '../utils/get-rendezvous-winner.js';

/** Assigns the share manager of each dimension in each availability zone. */
export type ZoneManagers = {
	setMembers(members: readonly Member[]): void;
	/** Excludes a daemon that is stopping. */
	removeMember(id: string, incarnation: string): void;
	/** Finds the share manager of a dimension in an availability zone. */
	findManager(key: string, zone: string): string | undefined;
	getZones(): ReadonlySet<string>;
	getZoneMembers(zone: string): readonly Member[];
};

export function createZoneManagers(): ZoneManagers {
	const departedIncarnations = new Map<string, string>();
	let membersByZone = new Map<string, Member[]>();
	let zones: ReadonlySet<string> = new Set();
	let managerByKey = new Map<string, string | undefined>();

	function setMembers(members: readonly Member[]): void {
		membersByZone = new Map();
		managerByKey = new Map();
		const present = new Map(members.map(member => [member.id, member.incarnation]));
		for (const [id, incarnation] of departedIncarnations) {
			if (present.get(id) !== incarnation) {
				departedIncarnations.delete(id);
			}
		}

		for (const member of members) {
			if (member.roles.includes('entry') && departedIncarnations.get(member.id) !== member.incarnation) {
				const zoneMembers = membersByZone.get(member.availabilityZone) ?? [];
				zoneMembers.push(member);
				membersByZone.set(member.availabilityZone, zoneMembers);
			}
		}

		zones = new Set(membersByZone.keys());
	}

	function removeMember(id: string, incarnation: string): void {
		departedIncarnations.set(id, incarnation);
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
