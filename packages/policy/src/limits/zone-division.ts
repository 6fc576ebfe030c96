import type {ConfigurationObjects} from '@camphortack/configuration';
import type {TimerService} from '@camphortack/core';
import {divisionGrowthDelayMs} from './limit-constants.js';

/** The fixed division of every limit between availability zones. */
export type ZoneDivision = {
	setConfiguration(objects: ConfigurationObjects): void;
	/** Sets the availability zones of which a live daemon is visible. */
	setVisibleZones(zones: ReadonlySet<string>): void;
	/** Gets what the own availability zone may use of a declared amount. */
	getZoneAmount(capacity: number, isWhole: boolean): number;
};

type Weights = ReadonlyMap<string, number>;

/**
 * Creates the division. A larger part after a change of weights counts only once every availability zone has been
 * visible for a while, so that none still uses the division before the change.
 */
export function createZoneDivision(timers: TimerService, ownZone: string): ZoneDivision {
	let weights: Weights = new Map();
	let earlierWeights: Weights[] = [];
	let visibleZones: ReadonlySet<string> = new Set();
	let allVisibleSinceMs: number | undefined;

	function setConfiguration(objects: ConfigurationObjects): void {
		const zones = Object.entries(objects.availabilityZones);
		const next = new Map(zones.length === 0 ? [[ownZone, 1]] : zones.map(([name, zone]) => [name, zone.limitWeight]));
		if (!areEqual(weights, next)) {
			settleGrowth();
			earlierWeights = weights.size === 0 ? [] : [...earlierWeights, weights];
			weights = next;
			allVisibleSinceMs = undefined;
			updateVisible();
		}
	}

	function setVisibleZones(zones: ReadonlySet<string>): void {
		settleGrowth();
		visibleZones = zones;
		updateVisible();
	}

	function updateVisible(): void {
		const areAllVisible = [...weights.keys()].every(zone => zone === ownZone || visibleZones.has(zone));
		allVisibleSinceMs = areAllVisible ? allVisibleSinceMs ?? timers.getNowMs() : undefined;
	}

	function settleGrowth(): void {
		if (allVisibleSinceMs !== undefined && timers.getNowMs() >= allVisibleSinceMs + divisionGrowthDelayMs) {
			earlierWeights = [];
		}
	}

	function getZoneAmount(capacity: number, isWhole: boolean): number {
		settleGrowth();
		return Math.min(...[weights, ...earlierWeights].map(each => getPart(each, ownZone, capacity, isWhole)));
	}

	return {setConfiguration, setVisibleZones, getZoneAmount};
}

function areEqual(left: Weights, right: Weights): boolean {
	return left.size === right.size && [...left].every(([zone, weight]) => right.get(zone) === weight);
}

/** Whole units are handed out along the running sum of weights, so that the parts add up exactly. */
function getPart(weights: Weights, ownZone: string, capacity: number, isWhole: boolean): number {
	const ownWeight = weights.get(ownZone) ?? 0;
	let before = 0;
	let total = 0;
	for (const [zone, weight] of [...weights].toSorted(([left], [right]) => left < right ? -1 : 1)) {
		before += zone < ownZone ? weight : 0;
		total += weight;
	}

	if (total === 0) {
		return 0;
	}

	return isWhole
		? Math.floor(capacity * (before + ownWeight) / total) - Math.floor(capacity * before / total)
		: capacity * ownWeight / total;
}
