import type {TimerService} from '@camphortack/core';
import {isNewerDescription, type BackendServerDescription, type ServerIncarnation} from '@camphortack/placement';
import {registryRetentionMs} from '../cluster-timings.js';
import {getIncarnationKey, getIncarnationsDigest} from './get-incarnations-digest.js';

/** The backend servers that have announced themselves to any daemon of the deployment. */
export type ServerRegistry = {
	/**
	 * Adds a description.
	 * @returns How it differs from the known one, as far as the placer is concerned; `stale` if a newer one is known or
	 * the incarnation has ended.
	 */
	addDescription(description: BackendServerDescription): 'new' | 'changed' | 'same' | 'stale';
	/** Whether a backend server of a service has changed its capacity, so that the others may do so too. */
	isCapacityVariable(service: string): boolean;
	/** Records that an incarnation has ended. */
	removeServer(serverId: string, bornMs: number): void;
	/** Whether an incarnation was recorded as ended recently. */
	hasLeft(server: ServerIncarnation): boolean;
	findDescription(serverId: string): BackendServerDescription | undefined;
	getDescriptions(): BackendServerDescription[];
	getCount(): number;
	/** Gets the number of addresses: of several backend servers at one address, all but one have ended without a word. */
	getAddressCount(): number;
	/** Gets a digest of the known incarnations of an availability zone; of all zones if it is omitted or empty. */
	getDigest(availabilityZone?: string): string;
	/**
	 * Removes backend servers without a recent heartbeat, except those still in use, and expired records of ended incarnations.
	 */
	removeExpired(isInUse: (serverId: string) => boolean): void;
};

type RegistryEntry = {
	description: BackendServerDescription;
	receivedAtMs: number;
	/** When the backend server sent the description; earlier than its receipt if it came through other daemons. */
	sentAtMs: number;
};

/**
 * Creates an empty registry.
 * @param timers - The source of time.
 */
export function createServerRegistry(timers: TimerService): ServerRegistry {
	const entries = new Map<string, RegistryEntry>();
	const endedAtMs = new Map<string, number>();
	const digests = new Map<string, string>();
	const variableServices = new Set<string>();

	function deleteEntry(serverId: string): void {
		entries.delete(serverId);
		digests.clear();
	}

	function computeDigest(availabilityZone: string): string {
		const descriptions = [...entries.values()].map(({description}) => description).filter(description => availabilityZone === '' || description.availabilityZone === availabilityZone);
		return getIncarnationsDigest(descriptions);
	}

	function hasLeft(server: ServerIncarnation): boolean {
		return endedAtMs.has(getIncarnationKey(server));
	}

	/** Gets a description as of now. Its age matters only where capacities change. */
	function getCurrentDescription(entry: RegistryEntry): BackendServerDescription {
		const nowMs = timers.getNowMs();
		const description = getAgedDescription(entry, nowMs);
		return variableServices.has(description.service) ? {...description, reportAgeMs: nowMs - entry.sentAtMs} : description;
	}

	return {
		addDescription({reportAgeMs, ...description}) {
			const known = entries.get(description.id)?.description;
			if (hasLeft(description) || (known !== undefined && !isNewerDescription(description, known))) {
				return 'stale';
			}

			const isResized = known?.bornMs === description.bornMs && !hasSameCapacity(known, description);
			if (isResized || reportAgeMs !== undefined) {
				variableServices.add(description.service);
			}

			entries.set(description.id, {description, receivedAtMs: timers.getNowMs(), sentAtMs: timers.getNowMs() - (reportAgeMs ?? 0)});
			if (known?.bornMs !== description.bornMs) {
				digests.clear();
				return 'new';
			}

			return isSameExceptSequence(known, description) ? 'same' : 'changed';
		},
		isCapacityVariable: service => variableServices.has(service),
		hasLeft,
		removeServer(serverId, bornMs) {
			endedAtMs.set(getIncarnationKey({id: serverId, bornMs}), timers.getNowMs());
			if (entries.get(serverId)?.description.bornMs === bornMs) {
				deleteEntry(serverId);
			}
		},
		findDescription(serverId) {
			const entry = entries.get(serverId);
			return entry === undefined ? undefined : getCurrentDescription(entry);
		},
		getCount: () => entries.size,
		getDescriptions: () => [...entries.values()].map(entry => getCurrentDescription(entry)),
		getAddressCount: () => new Set([...entries.values()].map(({description: {host, port}}) => `${host} ${port}`)).size,
		getDigest(availabilityZone = '') {
			const digest = digests.get(availabilityZone) ?? computeDigest(availabilityZone);
			digests.set(availabilityZone, digest);
			return digest;
		},
		removeExpired(isInUse) {
			const oldestMs = timers.getNowMs() - registryRetentionMs;
			for (const [id, {receivedAtMs}] of entries) {
				if (receivedAtMs < oldestMs && !isInUse(id)) {
					deleteEntry(id);
				}
			}

			for (const [key, atMs] of endedAtMs) {
				if (atMs < oldestMs) {
					endedAtMs.delete(key);
				}
			}
		},
	};
}

function hasSameCapacity(left: BackendServerDescription, right: BackendServerDescription): boolean {
	return left.cpuMillicores === right.cpuMillicores && left.memoryMb === right.memoryMb && left.gpuCount === right.gpuCount && left.slotCount === right.slotCount;
}

function isSameExceptSequence(left: BackendServerDescription, right: BackendServerDescription): boolean {
	return JSON.stringify(getComparable(left)) === JSON.stringify(getComparable(right));
}

/** The remaining times differ in each heartbeat; only their begin and end are changes. */
function getComparable(description: BackendServerDescription): unknown {
	return {...description, sequence: 0, ...mapRemainingTimes(description, () => 0)};
}

/** Gets a description in which the remaining times are those of now. */
function getAgedDescription({description, receivedAtMs}: RegistryEntry, nowMs: number): BackendServerDescription {
	return {...description, ...mapRemainingTimes(description, remainingMs => Math.max(0, remainingMs - (nowMs - receivedAtMs)))};
}

function mapRemainingTimes({coldMs, noticeMs}: BackendServerDescription, mapTime: (remainingMs: number) => number): Pick<BackendServerDescription, 'coldMs' | 'noticeMs'> {
	return {
		...(coldMs === undefined ? {} : {coldMs: mapTime(coldMs)}),
		...(noticeMs === undefined ? {} : {noticeMs: mapTime(noticeMs)}),
	};
}
