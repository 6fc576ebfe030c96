import type {BackendServerRecord} from './backend-server-record.js';

/** Incarnations that were announced under the id of a backend server in use, until it is known which of them has ended. */
export type OtherIncarnations = {
	/** Adds an incarnation. Returns the one that is dropped for it, if there are too many under its id. */
	add(server: BackendServerRecord): BackendServerRecord | undefined;
	/** Removes an incarnation; returns false if it is not known. */
	remove(server: BackendServerRecord): boolean;
	findServer(backendServerId: string, incarnation: string): BackendServerRecord | undefined;
	/** Gets the incarnations under an id, the one that was added first at the beginning. */
	getServers(backendServerId: string): readonly BackendServerRecord[];
};

/** A writer that announces a new incarnation each time must not fill the memory. */
const maxIncarnations = 4;

/**
 * Creates an empty list.
 *
 * @example
 * ```ts
 * const others = createOtherIncarnations();
 * others.add(server);
 * others.findServer(server.id, server.announcement.incarnation); // server
 * ```
 */
export function createOtherIncarnations(): OtherIncarnations {
	const serversById = new Map<string, BackendServerRecord[]>();

	function getServers(backendServerId: string): readonly BackendServerRecord[] {
		return serversById.get(backendServerId) ?? [];
	}

	function remove(server: BackendServerRecord): boolean {
		const servers = getServers(server.id);
		const others = servers.filter(other => other !== server);
		if (others.length > 0) {
			serversById.set(server.id, others);
		} else {
			serversById.delete(server.id);
		}

		return others.length < servers.length;
	}

	return {
		add(server) {
			const servers = [...getServers(server.id), server];
			serversById.set(server.id, servers);
			if (servers.length <= maxIncarnations) {
				return undefined;
			}

			const [dropped] = servers.toSorted((left, right) => left.lastSeenMs - right.lastSeenMs);
			remove(dropped!);
			return dropped;
		},
		remove,
		findServer: (backendServerId, incarnation) => getServers(backendServerId).find(({announcement}) => announcement.incarnation === incarnation),
		getServers,
	};
}
