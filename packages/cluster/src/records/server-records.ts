import type {TimerService} from '@camphortack/core';
import type {BackendServerDescription, PlacementMessageOf} from '@camphortack/placement';
import {handedOverRecordRetentionMs} from '../cluster-timings.js';
import {isSameView, type PlacerView} from '../election/placer-view.js';
import {getIncarnationKey, getIncarnationsDigest} from '../registry/get-incarnations-digest.js';

/** A placer to which a job was submitted. */
export type RecordedPlacer = {
	view: PlacerView;
	/** Whether it starts tasks only on backend servers that this daemon has recorded for it. */
	usesRecords: boolean;
};

/**
 * The backend servers on which placers may have started the tasks of this daemon's jobs. A placer uses a backend server for them only
 * after this daemon has recorded it, so that the record is complete whatever becomes of the placer.
 */
export type ServerRecords = {
	/** Records the backend servers that a placer uses. Returns false if some of them were neither sent nor recorded before. */
	addServers(placerId: string, message: PlacementMessageOf<'placement.record-servers'>): boolean;
	/** Finds the digest of what is recorded for some placers; undefined if one of them may have used other backend servers. */
	findDigest(shard: string, placers: readonly RecordedPlacer[]): string | undefined;
	/** Finds the backend servers of a digest that was found recently. */
	findServers(digest: string): BackendServerDescription[] | undefined;
	/** Removes the records of placers whose jobs have all ended. */
	removeUnused(isInUse: (shard: string, view: PlacerView) => boolean): void;
};

/** The record of one process of a placer. */
type ServerRecord = {
	shard: string;
	view: PlacerView;
	incarnation: string;
	/** The number of the last list. */
	listNumber: number;
	servers: ReadonlyMap<string, BackendServerDescription>;
};

/** A digest that was handed over, until the next placer has asked for its backend servers. */
type HandedOverRecord = {
	servers: BackendServerDescription[];
	usedAtMs: number;
};

/**
 * Creates the records of a daemon that has just started.
 * @param timers - The clock.
 *
 * @example
 * ```ts
 * const records = createServerRecords(timers);
 * records.addServers('10.3.0.40', message); // true: the placer may use them
 * const digest = records.findDigest('zone-a', [{view: {term: 1, placerId: '10.3.0.40'}, usesRecords: true}]);
 * records.findServers(digest); // the backend servers of the message
 * ```
 */
export function createServerRecords(timers: TimerService): ServerRecords {
	let records: ServerRecord[] = [];
	const handedOver = new Map<string, HandedOverRecord>();
	/** The digests of the current records, by shard and placers. */
	const digests = new Map<string, string>();

	function findRecord(placerId: string, {shard, term, incarnation}: PlacementMessageOf<'placement.record-servers'>): ServerRecord | undefined {
		return records.find(record => record.shard === shard && record.incarnation === incarnation && isSameView(record.view, {term, placerId}));
	}

	function getRecord(placerId: string, message: PlacementMessageOf<'placement.record-servers'>): ServerRecord {
		const known = findRecord(placerId, message);
		if (known !== undefined) {
			return known;
		}

		const {shard, term, incarnation} = message;
		const record = {
			shard, view: {term, placerId}, incarnation, listNumber: 0, servers: new Map<string, BackendServerDescription>(),
		};
		records.push(record);
		return record;
	}

	function getServers(shard: string, views: readonly PlacerView[]): BackendServerDescription[] {
		const isNamed = (record: ServerRecord) => record.shard === shard && views.some(view => isSameView(view, record.view));
		const servers = new Map<string, BackendServerDescription>();
		for (const record of records.filter(record => isNamed(record))) {
			for (const description of record.servers.values()) {
				servers.set(getIncarnationKey(description), description);
			}
		}

		return [...servers.values()];
	}

	function handOver(servers: BackendServerDescription[]): string {
		const digest = getIncarnationsDigest(servers);
		handedOver.set(digest, {servers, usedAtMs: timers.getNowMs()});
		return digest;
	}

	function removeOldDigests(): void {
		const oldestMs = timers.getNowMs() - handedOverRecordRetentionMs;
		for (const [digest, {usedAtMs}] of handedOver) {
			if (usedAtMs < oldestMs) {
				handedOver.delete(digest);
			}
		}
	}

	return {
		addServers(placerId, message) {
			const record = getRecord(placerId, message);
			// A list that was overtaken by a later one, which was sent again if it was not complete here.
			if (message.listNumber < record.listNumber) {
				return true;
			}

			const sent = new Map(message.descriptions.map(description => [description.id, description]));
			const servers = message.serverIds.map(id => sent.get(id) ?? record.servers.get(id));
			if (servers.includes(undefined)) {
				return false;
			}

			digests.clear();
			record.listNumber = message.listNumber;
			record.servers = new Map(servers.map(description => [description!.id, description!]));
			return true;
		},
		findDigest(shard, placers) {
			const isComplete = placers.every(({view, usesRecords}) => usesRecords || records.some(record => record.shard === shard && isSameView(record.view, view)));
			if (!isComplete) {
				return undefined;
			}

			const views = placers.map(({view}) => view);
			const key = JSON.stringify([shard, views.map(({term, placerId}) => [term, placerId])]);
			const digest = digests.get(key) ?? handOver(getServers(shard, views));
			digests.set(key, digest);
			handedOver.get(digest)!.usedAtMs = timers.getNowMs();
			return digest;
		},
		findServers: digest => handedOver.get(digest)?.servers,
		removeUnused(isInUse) {
			records = records.filter(({shard, view}) => isInUse(shard, view));
			digests.clear();
			removeOldDigests();
		},
	};
}
