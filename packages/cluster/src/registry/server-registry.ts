import type {TimerService} from '@camphortack/core';
import {isNewerDescription, type BackendServerDescription} from '@camphortack/placement';
import {registryRetentionMs} from '../cluster-timings.js';

/** The backend servers that have announced themselves to any daemon of the deployment. */
export type ServerRegistry = {
	/**
	 * Adds a description.
	 * @returns How it differs from the known one, as far as the placer is concerned; `stale` if a newer one is known or
	 * the incarnation has ended.
	 */
	addDescription(description: BackendServerDescription): 'new' | 'changed' | 'same' | 'stale';
	/** Records that an incarnation has ended. */
	removeServer(serverId: string, bornMs: number): void;
	findDescription(serverId: string): BackendServerDescription | undefined;
	getDescriptions(): BackendServerDescription[];
	/** Removes backend servers without a recent heartbeat, except those still in use, and expired records of ended incarnations. */
	removeExpired(isInUse: (serverId: string) => boolean): void;
};

type RegistryEntry = {
	description: BackendServerDescription;
	receivedAtMs: number;
};

/**
 * Creates an empty registry.
 * @param timers - The source of time.
 */
export function createServerRegistry(timers: TimerService): ServerRegistry {
	const entries = new Map<string, RegistryEntry>();
	const endedAtMs = new Map<string, number>();

	function hasEnded({id, bornMs}: BackendServerDescription): boolean {
		return endedAtMs.has(getIncarnationKey(id, bornMs));
	}

	return {
		addDescription(description) {
			const known = entries.get(description.id)?.description;
			if (hasEnded(description) || (known !== undefined && !isNewerDescription(description, known))) {
				return 'stale';
			}

			entries.set(description.id, {description, receivedAtMs: timers.getNowMs()});
			if (known?.bornMs !== description.bornMs) {
				return 'new';
			}

			return isSameExceptSequence(known, description) ? 'same' : 'changed';
		},
		removeServer(serverId, bornMs) {
			endedAtMs.set(getIncarnationKey(serverId, bornMs), timers.getNowMs());
			if (entries.get(serverId)?.description.bornMs === bornMs) {
				entries.delete(serverId);
			}
		},
		findDescription: serverId => entries.get(serverId)?.description,
		getDescriptions: () => [...entries.values()].map(({description}) => description),
		removeExpired(isInUse) {
			const oldestMs = timers.getNowMs() - registryRetentionMs;
			for (const [id, {receivedAtMs}] of entries) {
				if (receivedAtMs < oldestMs && !isInUse(id)) {
					entries.delete(id);
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

function getIncarnationKey(serverId: string, bornMs: number): string {
	return `${serverId} ${bornMs}`;
}

function isSameExceptSequence(left: BackendServerDescription, right: BackendServerDescription): boolean {
	return JSON.stringify({...left, sequence: 0}) === JSON.stringify({...right, sequence: 0});
}
