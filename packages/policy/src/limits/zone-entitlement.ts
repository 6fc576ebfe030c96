import type {Member, TimerService} from '@camphortack/core';
import {clockDriftFactor, maxDetectionSkewMs, minorityGracePeriodMs} from './limit-constants.js';

/**
 * The part of its availability zone's amounts that this side of a network partition within the zone may use. Each side
 * remembers the daemons of the other one, so that the parts add up to at most the whole.
 */
export type ZoneEntitlement = {
	/**
	 * Sets the live daemons of the own availability zone.
	 * @returns Whether a lost daemon has returned, so that the use on its side is unknown.
	 */
	setMembers(members: readonly Member[]): boolean;
	/** Removes a daemon that announced its planned stop. */
	removeMember(id: string, incarnation: string): void;
	/**
	 * Gets the amount that this side may use.
	 * @param zoneAmount - The amount that the whole availability zone may use.
	 * @param isWhole - Whether only whole units are usable.
	 * @param useLifetimeMs - How long a use on the other side may last after the last start there.
	 */
	getEntitlement(zoneAmount: number, isWhole: boolean, useLifetimeMs: number): number;
};

export type ZoneEntitlementOptions = {
	timers: TimerService;
	/** The number of daemons configured for this availability zone. */
	minMembers: number;
	/** The maximum `useLifetimeMs` passed to `getEntitlement`. */
	maxUseLifetimeMs: number;
};

type LostMember = {
	incarnation: string;
	lostAtMs: number;
};

export function createZoneEntitlement({timers, minMembers, maxUseLifetimeMs}: ZoneEntitlementOptions): ZoneEntitlement {
	const lost = new Map<string, LostMember>();
	const seenIds = new Set<string>();
	const departedIncarnations = new Map<string, string>();
	let live = new Map<string, string>();
	let majoritySinceMs: number | undefined;
	let minoritySinceMs: number | undefined;

	function setMembers(members: readonly Member[]): boolean {
		const remaining = members.filter(member => departedIncarnations.get(member.id) !== member.incarnation);
		const next = new Map(remaining.map(member => [member.id, member.incarnation]));
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
		pruneDeparted(members);
		recordSeenIds();
		updateMajority();
		return hasReturned;
	}

	function pruneDeparted(members: readonly Member[]): void {
		const present = new Map(members.map(member => [member.id, member.incarnation]));
		for (const [id, incarnation] of departedIncarnations) {
			if (present.get(id) !== incarnation) {
				departedIncarnations.delete(id);
			}
		}
	}

	function recordSeenIds(): void {
		for (const id of live.keys()) {
			if (seenIds.size < minMembers) {
				seenIds.add(id);
			}
		}
	}

	function removeMember(id: string, incarnation: string): void {
		departedIncarnations.set(id, incarnation);
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
		const knownCount = countKnownMembers(maxUseLifetimeMs);
		if (2 * live.size > knownCount) {
			majoritySinceMs ??= nowMs;
		} else {
			majoritySinceMs = undefined;
		}

		if (2 * live.size < knownCount) {
			minoritySinceMs ??= nowMs;
		} else {
			minoritySinceMs = undefined;
		}
	}

	/** Only a majority stops counting lost daemons, and not before the uses on their side must have ended. */
	function countKnownMembers(useLifetimeMs: number): number {
		const waitMs = ((minorityGracePeriodMs + useLifetimeMs) * clockDriftFactor * clockDriftFactor) + maxDetectionSkewMs;
		const expiredBeforeMs = timers.getNowMs() - waitMs;
		let count = live.size;
		for (const member of lost.values()) {
			const isExpired = majoritySinceMs !== undefined && Math.max(majoritySinceMs, member.lostAtMs) < expiredBeforeMs;
			count += isExpired ? 0 : 1;
		}

		return seenIds.size < minMembers ? Math.max(count, minMembers) : count;
	}

	function getEntitlement(zoneAmount: number, isWhole: boolean, useLifetimeMs: number): number {
		const isGracePeriodOver = minoritySinceMs !== undefined && timers.getNowMs() >= minoritySinceMs + minorityGracePeriodMs;
		if (isGracePeriodOver || live.size === 0) {
			return 0;
		}

		const knownCount = countKnownMembers(useLifetimeMs);
		const round = isWhole ? Math.floor : (amount: number) => amount;
		return 2 * live.size > knownCount
			? zoneAmount - round(zoneAmount * (knownCount - live.size) / knownCount)
			: round(zoneAmount * live.size / knownCount);
	}

	return {setMembers, removeMember, getEntitlement};
}
