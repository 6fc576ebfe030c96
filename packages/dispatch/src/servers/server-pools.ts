import type {BackendServerRecord} from './backend-server-record.js';

/** The backend servers in use by the pools that they serve, and those of them that can take work now. */
export type ServerPools = {
	/** Sets the pools that a backend server serves. It can take no work until it is added to the available ones. */
	setPools(server: BackendServerRecord, pools: readonly string[]): void;
	addAvailable(server: BackendServerRecord): void;
	removeAvailable(server: BackendServerRecord): void;
	/** Moves a backend server to the end of the available ones of its pools. */
	rotate(server: BackendServerRecord): void;
	getAvailable(pool: string): ReadonlySet<BackendServerRecord>;
	/** Gets the pools that have backend servers. */
	getPools(): string[];
	/** Gets the number of backend servers that serve a pool. */
	getSize(pool: string): number;
};

/**
 * Creates empty pools.
 *
 * @example
 * ```ts
 * const pools = createServerPools();
 * pools.setPools(server, ['main']);
 * pools.getSize('main'); // 1
 * ```
 */
export function createServerPools(): ServerPools {
	const availableByPool = new Map<string, Set<BackendServerRecord>>();
	const sizes = new Map<string, number>();
	const noServers: ReadonlySet<BackendServerRecord> = new Set();

	function updateSizes(server: BackendServerRecord, sign: 1 | -1): void {
		for (const pool of server.pools) {
			sizes.set(pool, (sizes.get(pool) ?? 0) + sign);
		}
	}

	function removeAvailable(server: BackendServerRecord): void {
		for (const pool of server.pools) {
			availableByPool.get(pool)?.delete(server);
		}
	}

	return {
		setPools(server, pools) {
			removeAvailable(server);
			updateSizes(server, -1);
			server.pools = pools;
			updateSizes(server, 1);
		},
		addAvailable(server) {
			for (const pool of server.pools) {
				const available = availableByPool.get(pool) ?? new Set();
				availableByPool.set(pool, available);
				available.add(server);
			}
		},
		removeAvailable,
		rotate(server) {
			for (const pool of server.pools) {
				const available = availableByPool.get(pool);
				if (available?.delete(server)) {
					available.add(server);
				}
			}
		},
		getAvailable: pool => availableByPool.get(pool) ?? noServers,
		getPools: () => [...sizes].filter(([, size]) => size > 0).map(([pool]) => pool),
		getSize: pool => sizes.get(pool) ?? 0,
	};
}
