import type {TimerService} from '@camphortack/core';
import type {HandoverSource, JobHandover, ServerSources} from '@camphortack/placement';
import {maxSourceSilenceMs, registryRequestIntervalMs} from '../cluster-timings.js';
import type {MemberTable} from '../members/member-table.js';

/** Tracks which registries of other daemons the own one contains. */
export type RegistrySources = ServerSources & {
	/** Records that the registry of a daemon, in the state of a digest, was added to the own one. */
	addSource(memberId: string, digest: string | undefined): void;
	/**
	 * Records a placer whose registry has the digest of the own one. Entry daemons ask only keepers for their registries; without
	 * this, the successor of an entry daemon that placed could not tell on which backend servers that one had started tasks.
	 */
	addSourceIfEqual(memberId: string, digest: string | undefined): void;
};

export type RegistrySourcesOptions = {
	ownId: string;
	ownIncarnation: string;
	members: MemberTable;
	timers: TimerService;
	/** Gets the digest of the own registry. */
	getDigest: () => string;
	/** Whether an entry daemon receives the reports of all backend servers that a placer on this daemon may use. */
	isInShard: (entryId: string) => boolean;
	/** Sends a request for its registry to a daemon. */
	sendRequest: (memberId: string) => void;
};

/**
 * Creates the sources of a daemon that has just started, with an empty registry. A placer uses only backend servers of its
 * registry, and the entry daemons of its shard receive the same reports. The runs of an earlier placer can therefore be found
 * by a daemon that has the registries of both: of the incarnation that placed, and of the entry daemon when it changed placers.
 * @param options - The daemon and the other daemons.
 *
 * @example
 * ```ts
 * const sources = createRegistrySources(options);
 * const source = {entryId: '10.3.0.31', registryDigest: getDigest(), placers: [{placerId: '10.3.0.40', incarnation: 'one'}]};
 * sources.isCoveredBy(source); // false
 * sources.addSource('10.3.0.40', undefined);
 * sources.isCoveredBy(source); // true while the first incarnation of 10.3.0.40 is heard
 * ```
 */
export function createRegistrySources(options: RegistrySourcesOptions): RegistrySources {
	const {ownId, ownIncarnation, members, timers, getDigest, isInShard, sendRequest} = options;
	const incarnations = new Map<string, string>();
	const digests = new Map<string, string>();
	const requestedAtMs = new Map<string, number>();

	function hasRegistryOfPlacer({placerId, incarnation}: JobHandover['placers'][number]): boolean {
		if (placerId === ownId) {
			return incarnation === ownIncarnation;
		}

		return incarnation !== '' && incarnations.get(placerId) === incarnation && members.getSilenceMs(placerId) < maxSourceSilenceMs;
	}

	function hasRegistryOfEntry({entryId, registryDigest}: HandoverSource): boolean {
		return !isInShard(entryId) || registryDigest === getDigest() || registryDigest === digests.get(entryId);
	}

	function requestIfDue(memberId: string): void {
		const nowMs = timers.getNowMs();
		if (memberId !== ownId && nowMs - (requestedAtMs.get(memberId) ?? Number.NEGATIVE_INFINITY) >= registryRequestIntervalMs) {
			requestedAtMs.set(memberId, nowMs);
			sendRequest(memberId);
		}
	}

	function addSource(memberId: string, digest: string | undefined): void {
		const member = members.findMember(memberId);
		if (member !== undefined) {
			incarnations.set(memberId, member.incarnation);
		}

		if (digest !== undefined) {
			digests.set(memberId, digest);
		}
	}

	return {
		addSource,
		addSourceIfEqual(memberId, digest) {
			if (digest === getDigest()) {
				addSource(memberId, digest);
			}
		},
		isCoveredBy: source => source.placers.length > 0 && hasRegistryOfEntry(source) && source.placers.every(placer => hasRegistryOfPlacer(placer)),
		requestMissing(source) {
			if (!hasRegistryOfEntry(source)) {
				requestIfDue(source.entryId);
			}

			for (const placer of source.placers) {
				if (!hasRegistryOfPlacer(placer)) {
					requestIfDue(placer.placerId);
				}
			}
		},
	};
}
