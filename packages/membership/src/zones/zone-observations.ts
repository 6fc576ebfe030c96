import type {ZoneObservation} from '../messages/membership-messages.js';
import type {MemberTable} from '../table/member-table.js';

/** The reachability of other availability zones as observed by the gateways of the own zone. */
export type ZoneObservations = {
	/**
	 * Adds an observation. Returns false if the same or a later one of that process is known, or if the observer has been
	 * restarted since.
	 */
	add(observation: ZoneObservation): boolean;
	findObservation(availabilityZone: string, observerId: string): ZoneObservation | undefined;
	/**
	 * Gets the reachability of an availability zone as last observed by the current process of a daemon, or undefined if it
	 * has observed none.
	 */
	findReachability(availabilityZone: string, observerId: string): boolean | undefined;
	getAll(): ZoneObservation[];
};

/**
 * Creates the zone observations.
 * @param table - The member table, for the current incarnations of the observers.
 */
export function createZoneObservations(table: MemberTable): ZoneObservations {
	const zones = new Map<string, Map<string, ZoneObservation>>();

	function findObservation(availabilityZone: string, observerId: string): ZoneObservation | undefined {
		return zones.get(availabilityZone)?.get(observerId);
	}

	function isCurrent(observation: ZoneObservation): boolean {
		return table.findRecord(observation.observerId)?.incarnation === observation.observerIncarnation;
	}

	function add(observation: ZoneObservation): boolean {
		const {availabilityZone, observerId} = observation;
		const known = findObservation(availabilityZone, observerId);
		const isKnown = known?.observerIncarnation === observation.observerIncarnation && known.sequence >= observation.sequence;
		if (isKnown || !isCurrent(observation)) {
			return false;
		}

		const observers = zones.get(availabilityZone) ?? new Map<string, ZoneObservation>();
		observers.set(observerId, observation);
		zones.set(availabilityZone, observers);
		return true;
	}

	function getAll(): ZoneObservation[] {
		const current: ZoneObservation[] = [];
		for (const observers of zones.values()) {
			for (const [observerId, observation] of observers) {
				if (isCurrent(observation)) {
					current.push(observation);
				} else {
					observers.delete(observerId);
				}
			}
		}

		return current;
	}

	return {
		add,
		findObservation,
		findReachability(availabilityZone, observerId) {
			const observation = findObservation(availabilityZone, observerId);
			return observation !== undefined && isCurrent(observation) ? observation.isReachable : undefined;
		},
		getAll,
	};
}
