import type {TimerService} from '@camphortack/core';
import type {
	BackendServerDescription, EarlierServers, PlacementMessageOf, ServerIncarnation,
} from '@camphortack/placement';
import {recordRequestIntervalMs} from '../cluster-timings.js';
import {getIncarnationsDigest} from '../registry/get-incarnations-digest.js';
import type {RegistryReplicator} from '../registry/registry-replicator.js';
import type {ServerRegistry} from '../registry/server-registry.js';

/** The records of backend servers that entry daemons hand over to the placer on this daemon. */
export type EarlierRecords = EarlierServers & {
	/** Adds a record that was requested. */
	addRecord(fromId: string, message: PlacementMessageOf<'placement.record'>): void;
	/** Gets the recorded backend servers that have deregistered, on which runs may still be in progress. They get no new tasks. */
	getLeftServers(): BackendServerDescription[];
};

export type EarlierRecordsOptions = {
	timers: TimerService;
	registry: ServerRegistry;
	replicator: RegistryReplicator;
	/** Gets the shard of this daemon. */
	getShard: () => string;
	/** Sends a request for the record with a digest. */
	sendRequest: (entryId: string, digest: string) => void;
	/** Called when a record was added. */
	onRecord: () => void;
};

/** A record that was handed over, with the time of its last use. */
type KnownRecord = {
	servers: readonly BackendServerDescription[];
	usedAtMs: number;
};

/** Longer than a search for runs goes on. */
const recordRetentionMs = 30_000;

/**
 * Creates an empty list. Entry daemons of one shard mostly have the same record, which is known by its digest, and it mostly equals the
 * registry of this daemon; others are requested.
 * @param options - The registry and the function that requests a record.
 *
 * @example
 * ```ts
 * const earlierRecords = createEarlierRecords(options);
 * earlierRecords.findServers(handover); // undefined
 * earlierRecords.requestMissing(handover);
 * earlierRecords.addRecord('10.3.0.31', {kind: 'placement.record', digest, descriptions});
 * earlierRecords.findServers(handover); // the descriptions
 * ```
 */
export function createEarlierRecords({timers, registry, replicator, getShard, sendRequest, onRecord}: EarlierRecordsOptions): EarlierRecords {
	const records = new Map<string, KnownRecord>();
	const requestedAtMs = new Map<string, number>();

	function addKnown(digest: string, servers: readonly BackendServerDescription[]): readonly ServerIncarnation[] {
		removeOldRecords();
		records.set(digest, {servers, usedAtMs: timers.getNowMs()});
		return servers;
	}

	function removeOldRecords(): void {
		const oldestMs = timers.getNowMs() - recordRetentionMs;
		for (const [digest, {usedAtMs}] of records) {
			if (usedAtMs < oldestMs) {
				records.delete(digest);
			}
		}

		for (const [key, atMs] of requestedAtMs) {
			if (atMs < oldestMs) {
				requestedAtMs.delete(key);
			}
		}
	}

	function findOwnServers(digest: string): BackendServerDescription[] | undefined {
		const shard = getShard();
		return registry.getDigest(shard) === digest ? registry.getDescriptions().filter(({availabilityZone}) => shard === '' || availabilityZone === shard) : undefined;
	}

	function findServers(digest: string): readonly ServerIncarnation[] | undefined {
		const known = records.get(digest);
		if (known !== undefined) {
			known.usedAtMs = timers.getNowMs();
			return known.servers;
		}

		const own = findOwnServers(digest);
		return own === undefined ? undefined : addKnown(digest, own);
	}

	return {
		findServers: ({recordDigest}) => (recordDigest === undefined ? undefined : findServers(recordDigest)),
		requestMissing({entryId, recordDigest}) {
			if (recordDigest === undefined || findServers(recordDigest) !== undefined) {
				return;
			}

			const key = `${entryId} ${recordDigest}`;
			if (timers.getNowMs() - (requestedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) >= recordRequestIntervalMs) {
				requestedAtMs.set(key, timers.getNowMs());
				sendRequest(entryId, recordDigest);
			}
		},
		hasLeft: registry.hasLeft,
		getLeftServers() {
			removeOldRecords();
			const recorded = [...records.values()].flatMap(({servers}) => servers);
			const left = recorded.filter(server => registry.hasLeft(server) && registry.findDescription(server.id) === undefined);
			return [...new Map(left.map(server => [server.id, {...server, state: 'draining' as const}])).values()];
		},
		addRecord(fromId, {digest, descriptions}) {
			if (getIncarnationsDigest(descriptions) === digest) {
				addKnown(digest, descriptions);
				replicator.addDescriptions(fromId, descriptions);
				onRecord();
			}
		},
	};
}
