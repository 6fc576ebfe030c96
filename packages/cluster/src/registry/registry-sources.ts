import type {TimerService} from '@camphortack/core';
import type {HandoverSource, JobHandover, ServerSources} from '@camphortack/placement';
import {
	maxSourceAgeMs, maxSourceSilenceMs, placerOverdueMs, placerTimeoutMs, registryRequestIntervalMs, sourceRefreshIntervalMs,
} from '../cluster-timings.js';
import {isNewerView, type PlacerView} from '../election/placer-view.js';
import type {MemberTable} from '../members/member-table.js';

/** Tracks which registries of other daemons the own one contains, and as of when. */
export type RegistrySources = ServerSources & {
	/** Records that the registry of a daemon, in the state of a digest, was added to the own one. */
	addSource(memberId: string, digest: string | undefined): void;
	/**
	 * Compares the registry of a daemon that places, or has placed, with the own one, as its heartbeat arrives. Entry daemons ask only
	 * keepers for their registries; without this, the successor of an entry daemon that placed could not tell on which backend servers
	 * that one had started tasks.
	 */
	handleHeartbeat(memberId: string, digest: string | undefined): void;
	/** Forgets which registries the own one contains, because backend servers were removed from it. */
	forgetSources(): void;
};

type Source = {
	incarnation: string;
	/** When the own registry was last known to contain that of the daemon. */
	coveredAtMs: number;
	/** The placer that the daemon followed then. */
	view: PlacerView;
	/** When the incarnation was last heard. */
	heardAtMs: number;
};

type EarlierPlacer = JobHandover['placers'][number];

export type RegistrySourcesOptions = {
	ownId: string;
	ownIncarnation: string;
	members: MemberTable;
	timers: TimerService;
	/** Gets the placer that this daemon follows: itself when the sources matter. */
	getView: () => PlacerView;
	/** Gets the digest of the own registry. */
	getDigest: () => string;
	/** Whether another daemon receives the reports of all backend servers that a placer on this daemon may use. */
	isInShard: (memberId: string) => boolean;
	/** Sends a request for its registry to a daemon. */
	sendRequest: (memberId: string) => void;
};

/**
 * Creates the sources of a daemon that has just started, with an empty registry. A placer uses only backend servers of its
 * registry, and the entry daemons of its shard receive the same reports. The runs of an earlier placer can therefore be found
 * by a daemon that has the registries of both: of the incarnation that placed, and of the entry daemon when it changed placers.
 *
 * A registry does not cover what its sender has learned since. That of an earlier placer counts if it was sent after that one had
 * ceased to place. One that is lost cannot be asked: its registry counts if it was up to date until the placer was last heard, by this
 * daemon and by all others.
 * @param options - The daemon and the other daemons.
 *
 * @example
 * ```ts
 * const sources = createRegistrySources(options);
 * const placers = [{placerId: '10.3.0.40', incarnation: 'one'}];
 * const source = {entryId: '10.3.0.31', registryDigest: getDigest(), placers, receivedAtMs: timers.getNowMs()};
 * sources.addSource('10.3.0.40', undefined);
 * sources.isCoveredBy(source); // false while 10.3.0.40 places
 * ```
 */
export function createRegistrySources(options: RegistrySourcesOptions): RegistrySources {
	const {ownId, ownIncarnation, members, timers, getView, getDigest, isInShard, sendRequest} = options;
	const sources = new Map<string, Source>();
	const digests = new Map<string, string>();
	const requestedAtMs = new Map<string, number>();

	function hasRegistryOfPlacer(placer: EarlierPlacer, receivedAtMs: number | undefined): boolean {
		const {placerId, incarnation} = placer;
		if (placerId === ownId) {
			return incarnation === ownIncarnation;
		}

		const source = sources.get(placerId);
		if (source?.incarnation !== incarnation || timers.getNowMs() - source.heardAtMs >= maxSourceSilenceMs) {
			return false;
		}

		return hasCeasedToPlace(source.view) || (isLost(placerId, source) && source.coveredAtMs >= getLastHeardMs(source, placer, receivedAtMs) - maxSourceAgeMs);
	}

	/** Whether a daemon that follows a placer no longer places in an earlier term than this one. It may not have begun to, otherwise. */
	function hasCeasedToPlace(view: PlacerView): boolean {
		return !isNewerView(getView(), view);
	}

	/** Whether an incarnation that may have placed until it was last heard cannot be asked: it is silent or has been replaced. */
	function isLost(memberId: string, {incarnation, heardAtMs}: Source): boolean {
		const member = members.findMember(memberId)!;
		return member.incarnation !== incarnation || (!hasCeasedToPlace(member) && timers.getNowMs() - heardAtMs >= placerOverdueMs);
	}

	/** Gets when a lost placer was last heard, as far as this daemon, the entry daemon and the heartbeats of the others tell. */
	function getLastHeardMs({heardAtMs}: Source, {placerId: id, silenceMs}: EarlierPlacer, receivedAtMs: number | undefined): number {
		const witnesses = members.getAliveMembers().filter(({hearsPlacer, placerId}) => hearsPlacer && placerId === id);
		return Math.max(
			heardAtMs,
			silenceMs === undefined || receivedAtMs === undefined ? heardAtMs : receivedAtMs - silenceMs,
			...witnesses.map(witness => witness.lastHeartbeatAtMs - placerTimeoutMs),
		);
	}

	function hasRegistryOfEntry({entryId, registryDigest}: HandoverSource): boolean {
		return !isInShard(entryId) || registryDigest === getDigest() || registryDigest === digests.get(entryId);
	}

	function requestIfDue(memberId: string, intervalMs = registryRequestIntervalMs): void {
		const nowMs = timers.getNowMs();
		if (memberId !== ownId && nowMs - (requestedAtMs.get(memberId) ?? Number.NEGATIVE_INFINITY) >= intervalMs) {
			requestedAtMs.set(memberId, nowMs);
			sendRequest(memberId);
		}
	}

	function addSource(memberId: string, digest: string | undefined): void {
		const member = members.findMember(memberId);
		if (member !== undefined) {
			const {incarnation, term, placerId, lastHeartbeatAtMs} = member;
			sources.set(memberId, {
				incarnation, coveredAtMs: timers.getNowMs(), view: {term, placerId}, heardAtMs: lastHeartbeatAtMs,
			});
		}

		if (digest !== undefined) {
			digests.set(memberId, digest);
		}
	}

	/** The registry of a placer is requested once it has differed for a while: a report may not have reached this daemon. */
	function refreshSource(memberId: string): void {
		if (timers.getNowMs() - (sources.get(memberId)?.coveredAtMs ?? Number.NEGATIVE_INFINITY) >= sourceRefreshIntervalMs) {
			requestIfDue(memberId, sourceRefreshIntervalMs);
		}
	}

	return {
		addSource,
		handleHeartbeat(memberId, digest) {
			const member = members.findMember(memberId);
			const source = sources.get(memberId);
			if (member !== undefined && source?.incarnation === member.incarnation) {
				source.heardAtMs = member.lastHeartbeatAtMs;
			}

			if (member === undefined || digest === undefined) {
				return;
			}

			if (digest === getDigest() || digest === digests.get(memberId)) {
				addSource(memberId, digest);
			} else if (member.placerId === memberId && isInShard(memberId)) {
				refreshSource(memberId);
			}
		},
		forgetSources() {
			sources.clear();
			digests.clear();
		},
		isCoveredBy: source => source.placers.length > 0 && hasRegistryOfEntry(source)
			&& source.placers.every(placer => hasRegistryOfPlacer(placer, source.receivedAtMs)),
		requestMissing(source) {
			if (!hasRegistryOfEntry(source)) {
				requestIfDue(source.entryId);
			}

			for (const placer of source.placers) {
				if (!hasRegistryOfPlacer(placer, source.receivedAtMs)) {
					requestIfDue(placer.placerId);
				}
			}
		},
	};
}
