import type {Member, TimerService} from '@camphortack/core';
import {clockDriftFactor, detectionSpreadMs, minorityLifetimeMs} from './limit-constants.js';

/**
 * Which part of its availability zone's amounts this side of the zone may use. Sides that cannot see each other
 * remember each other, and their parts add up to at most the whole.
 */
export type ZonePresence = {
	/**
	 * Sets the live daemons of the own availability zone.
	 * @returns Whether a daemon came back that was lost, so that what its side used is not known.
	 */
	setMembers(members: readonly Member[]): boolean;
	/** Forgets a daemon that said farewell. */
	removeMember(id: string, incarnation: string): void;
	/**
	 * Gets the amount that this side may use.
	 * @param zoneAmount - What the whole availability zone may use.
	 * @param isWhole - Whether only whole units are of use.
	 * @param endingMs - How long a use of the other side may last after its last start.
	 */
	getEntitlement(zoneAmount: number, isWhole: boolean, endingMs: number): number;
};

export type ZonePresenceOptions = {
	timers: TimerService;
	/** The number of daemons that the settings name for this availability zone. */
	fewestMembers: number;
	/** The longest `endingMs` that is asked about. */
	longestEndingMs: number;
};

type LostMember = {
	incarnation: string;
	lostAtMs: number;
};

/** Creates the record of one availability zone's daemons. */
export function createZonePresence({timers, fewestMembers, longestEndingMs}: ZonePresenceOptions): ZonePresence {
	const lost = new Map<string, LostMember>();
	const seenIds = new Set<string>();
	const farewells = new Map<string, string>();
	let live = new Map<string, string>();
	let majoritySinceMs: number | undefined;
	let minoritySinceMs: number | undefined;

	function setMembers(members: readonly Member[]): boolean {
		const staying = members.filter(member => farewells.get(member.id) !== member.incarnation);
		const next = new Map(staying.map(member => [member.id, member.incarnation]));
		for (const [id, incarnation] of live) {
			if (!next.has(id)) {
				lost.set(id, {incarnation, lostAtMs: timers.getNowMs()});
			}
		}

		let hasReturned = false;
		for (const id of next.keys()) {
			hasReturned = lost.delete(id) || hasReturned;
		}

		live = next;
		forgetFarewells(members);
		rememberSeen();
		updateMajority();
		return hasReturned;
	}

	function forgetFarewells(members: readonly Member[]): void {
		const present = new Map(members.map(member => [member.id, member.incarnation]));
		for (const [id, incarnation] of farewells) {
			if (present.get(id) !== incarnation) {
				farewells.delete(id);
			}
		}
	}

	function rememberSeen(): void {
		for (const id of live.keys()) {
			if (seenIds.size < fewestMembers) {
				seenIds.add(id);
			}
		}
	}

	function removeMember(id: string, incarnation: string): void {
		farewells.set(id, incarnation);
		if (live.get(id) === incarnation) {
			live.delete(id);
		}

		if (lost.get(id)?.incarnation === incarnation) {
			lost.delete(id);
		}

		updateMajority();
	}

	function updateMajority(): void {
		const nowMs = timers.getNowMs();
		const remembered = countRemembered(longestEndingMs);
		if (2 * live.size > remembered) {
			majoritySinceMs ??= nowMs;
		} else {
			majoritySinceMs = undefined;
		}

		if (2 * live.size < remembered) {
			minoritySinceMs ??= nowMs;
		} else {
			minoritySinceMs = undefined;
		}
	}

	/** Only a majority forgets who was lost, and not before that side has used up its part. */
	function countRemembered(endingMs: number): number {
		const waitMs = ((minorityLifetimeMs + endingMs) * clockDriftFactor * clockDriftFactor) + detectionSpreadMs;
		const forgottenBeforeMs = timers.getNowMs() - waitMs;
		let count = live.size;
		for (const member of lost.values()) {
			const isForgotten = majoritySinceMs !== undefined && Math.max(majoritySinceMs, member.lostAtMs) < forgottenBeforeMs;
			count += isForgotten ? 0 : 1;
		}

		return seenIds.size < fewestMembers ? Math.max(count, fewestMembers) : count;
	}

	function getEntitlement(zoneAmount: number, isWhole: boolean, endingMs: number): number {
		const isOver = minoritySinceMs !== undefined && timers.getNowMs() >= minoritySinceMs + minorityLifetimeMs;
		if (isOver || live.size === 0) {
			return 0;
		}

		const remembered = countRemembered(endingMs);
		const round = isWhole ? Math.floor : (amount: number) => amount;
		return 2 * live.size > remembered
			? zoneAmount - round(zoneAmount * (remembered - live.size) / remembered)
			: round(zoneAmount * live.size / remembered);
	}

	return {setMembers, removeMember, getEntitlement};
}
