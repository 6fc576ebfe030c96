import type {TimerService} from '@camphortack/core';
import type {PlacerTerm} from '@camphortack/placement';
import {maxSourceSilenceMs, registryRequestIntervalMs} from '../cluster-timings.js';
import type {MemberTable} from '../members/member-table.js';

/** Tracks which daemons have sent their registries, and so which backend servers may be missing from the own one. */
export type RegistrySources = {
	/** Records that a daemon has sent its registry. */
	addSource(memberId: string): void;
	/** Whether the registry contains every backend server on which a placer may have started tasks. */
	knowsServersOf(placer: PlacerTerm): boolean;
	/** Requests the registries of the placers whose backend servers may be missing. */
	requestMissing(placers: readonly PlacerTerm[]): void;
};

export type RegistrySourcesOptions = {
	ownId: string;
	members: MemberTable;
	timers: TimerService;
	/** Whether a placer has run on this daemon in a term since the daemon started. */
	hasPlacedIn: (term: number) => boolean;
	/** Sends a request for its registry to a daemon. */
	sendRequest: (memberId: string) => void;
};

/**
 * Creates the sources of a daemon that has just started, with an empty registry. A placer uses only backend servers of its
 * registry. Another daemon therefore knows all of them once it has received that registry, as long as it hears the placer,
 * because further reports are sent to both.
 * @param options - The daemon and the other daemons.
 *
 * @example
 * ```ts
 * const sources = createRegistrySources(options);
 * sources.knowsServersOf({term: 3, placerId: '10.3.0.40'}); // false
 * sources.addSource('10.3.0.40');
 * sources.knowsServersOf({term: 3, placerId: '10.3.0.40'}); // true while 10.3.0.40 is heard
 * ```
 */
export function createRegistrySources(options: RegistrySourcesOptions): RegistrySources {
	const {ownId, members, timers, hasPlacedIn, sendRequest} = options;
	const incarnations = new Map<string, string>();
	const requestedAtMs = new Map<string, number>();

	function knowsServersOf({placerId, term}: PlacerTerm): boolean {
		if (placerId === ownId) {
			return hasPlacedIn(term);
		}

		const member = members.findMember(placerId);
		const isSource = member !== undefined && incarnations.get(placerId) === member.incarnation;
		return isSource && members.getSilenceMs(placerId) < maxSourceSilenceMs;
	}

	function requestIfDue(memberId: string): void {
		const nowMs = timers.getNowMs();
		if (nowMs - (requestedAtMs.get(memberId) ?? Number.NEGATIVE_INFINITY) >= registryRequestIntervalMs) {
			requestedAtMs.set(memberId, nowMs);
			sendRequest(memberId);
		}
	}

	return {
		addSource(memberId) {
			const member = members.findMember(memberId);
			if (member !== undefined) {
				incarnations.set(memberId, member.incarnation);
			}
		},
		knowsServersOf,
		requestMissing(placers) {
			for (const placer of placers) {
				if (placer.placerId !== ownId && !knowsServersOf(placer)) {
					requestIfDue(placer.placerId);
				}
			}
		},
	};
}
