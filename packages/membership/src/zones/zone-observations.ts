import type {ZoneObservation} from '../messages/membership-messages.js';
import type {MemberTable} from '../table/member-table.js';

/** What the gateways of the own availability zone observed of the others. */
export type ZoneObservations = {
	/** Keeps an observation; false if a later one of the same process is known. */
	add(observation: ZoneObservation): boolean;
	findObservation(availabilityZone: string, observerId: string): ZoneObservation | undefined;
	/** Gets whether a daemon that still runs observed last that an availability zone is reachable; undefined if it observed nothing. */
	findReachability(availabilityZone: string, observerId: string): boolean | undefined;
	getAll(): ZoneObservation[];
};

/**
 * Creates the observations.
 * @param table - Tells which observers still run.
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
