import {hashText} from '@camphortack/core';
import {mixHashes} from '../utils/mix-hashes.js';

/** Selects the slot manager of each backend server from a set of daemons, by rendezvous hashing. */
export type ManagerSelector = {
	readonly daemonIds: readonly string[];
	/** Gets the id of the manager, or an empty string if there are no daemons. */
	getManagerId(backendServerId: string): string;
};

/**
 * Creates a selector for a set of daemons. When a daemon joins or leaves, only the backend servers that it gains or loses
 * change their manager.
 * @param daemonIds - The daemons, in any order.
 *
 * @example
 * ```ts
 * createManagerSelector(['daemon-1', 'daemon-2']).getManagerId('server-7');
 * ```
 */
export function createManagerSelector(daemonIds: readonly string[]): ManagerSelector {
	const daemons = daemonIds.toSorted((left, right) => left < right ? -1 : 1).map(id => ({id, hash: hashText(id)}));

	function getManagerId(backendServerId: string): string {
		const serverHash = hashText(backendServerId);
		let managerId = '';
		let highestScore = -1;
		for (const {id, hash} of daemons) {
			const score = mixHashes(serverHash, hash);
			if (score > highestScore) {
				highestScore = score;
				managerId = id;
			}
		}

		return managerId;
	}

	return {daemonIds: daemons.map(({id}) => id), getManagerId};
}
