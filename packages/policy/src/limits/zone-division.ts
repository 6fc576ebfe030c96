import type {ConfigurationObjects} from '@camphortack/configuration';
import type {TimerService} from '@camphortack/core';
import {divisionGrowthDelayMs} from './limit-constants.js';

/** The static division of each limit between availability zones. */
export type ZoneDivision = {
	setConfiguration(objects: ConfigurationObjects): void;
	/** Sets the availability zones with at least one visible live daemon. */
	setVisibleZones(zones: ReadonlySet<string>): void;
	/** Gets the part of a declared amount that the own availability zone may use. */
	getZoneAmount(capacity: number, isWhole: boolean): number;
};

type Weights = ReadonlyMap<string, number>;

/**
 * Creates the division. After a change of weights, an increase takes effect only once all availability zones have been
 * visible for `divisionGrowthDelayMs`, so that no zone still uses the previous division.
 */
export function createZoneDivision(timers: TimerService, ownZone: string): ZoneDivision {
	let weights: Weights = new Map();
	let previousWeights: Weights[] = [];
	let visibleZones: ReadonlySet<string> = new Set();
	let allVisibleSinceMs: number | undefined;

	function setConfiguration(objects: ConfigurationObjects): void {
		const zones = Object.entries(objects.availabilityZones);
		const next = new Map(zones.length === 0 ? [[ownZone, 1]] : zones.map(([name, zone]) => [name, zone.limitWeight]));
		if (!areEqual(weights, next)) {
			expirePreviousWeights();
			previousWeights = weights.size === 0 ? [] : [...previousWeights, weights];
			weights = next;
			allVisibleSinceMs = undefined;
			updateVisible();
		}
	}

	function setVisibleZones(zones: ReadonlySet<string>): void {
		expirePreviousWeights();
		visibleZones = zones;
		updateVisible();
	}

	function updateVisible(): void {
		const areAllVisible = [...weights.keys()].every(zone => zone === ownZone || visibleZones.has(zone));
		allVisibleSinceMs = areAllVisible ? allVisibleSinceMs ?? timers.getNowMs() : undefined;
	}

	function expirePreviousWeights(): void {
		if (allVisibleSinceMs !== undefined && timers.getNowMs() >= allVisibleSinceMs + divisionGrowthDelayMs) {
			previousWeights = [];
		}
	}

	function getZoneAmount(capacity: number, isWhole: boolean): number {
		expirePreviousWeights();
		return Math.min(...[weights, ...previousWeights].map(each => getZonePart(each, ownZone, capacity, isWhole)));
	}

	return {setConfiguration, setVisibleZones, getZoneAmount};
}

function areEqual(left: Weights, right: Weights): boolean {
	return left.size === right.size && [...left].every(([zone, weight]) => right.get(zone) === weight);
}

/** Whole units are assigned by the cumulative sum of weights, so that the parts add up exactly to the capacity. */
function getZonePart(weights: Weights, ownZone: string, capacity: number, isWhole: boolean): number {
	const ownWeight = weights.get(ownZone) ?? 0;
	let precedingWeight = 0;
	let totalWeight = 0;
	for (const [zone, weight] of [...weights].toSorted(([left], [right]) => left < right ? -1 : 1)) {
		precedingWeight += zone < ownZone ? weight : 0;
		totalWeight += weight;
	}

	if (totalWeight === 0) {
		return 0;
	}

	return isWhole
		? Math.floor(capacity * (precedingWeight + ownWeight) / totalWeight) - Math.floor(capacity * precedingWeight / totalWeight)
		: capacity * ownWeight / totalWeight;
}
