/** The state of a connection, in the order in which connections are closed when there are too many. */
export type ConnectionState
	/** Its response has been sent, and it is about to be closed. */
	= 'closing'
		/** It has sent no complete request head yet. */
		| 'new'
		/** It waits for a further request. */
		| 'idle'
		/** It has an open request. */
		| 'busy';

/** The open connections of a server, of which there is a maximum number. */
export type ConnectionTable<Connection> = {
	/** Adds a connection, and closes another one if there are too many. Returns false if the new one has to be closed. */
	add(connection: Connection): boolean;
	setState(connection: Connection, state: ConnectionState): void;
	remove(connection: Connection): void;
	getConnections(): Iterable<Connection>;
	getCount(): number;
};

export type ConnectionTableOptions<Connection> = {
	maxCount: number;
	/** Closes a connection at once. */
	close: (connection: Connection) => void;
	/** Ends an open request that can be ended, so that its connection is about to be closed. Returns false if there is none. */
	endRequest: () => boolean;
};

const closableStates: ConnectionState[] = ['closing', 'new', 'idle'];

/**
 * Creates an empty table. A new connection takes the place of the one that has been in its state for the longest: a client that
 * opens many connections and sends nothing loses them, while one that sends a request at once is served.
 * @param options - The maximum number, and how connections are closed.
 *
 * @example
 * ```ts
 * const table = createConnectionTable({maxCount: 1, close, endRequest: () => false});
 * table.add(first); // true
 * table.add(second); // true; the first one is closed, since it has sent nothing.
 * ```
 */
export function createConnectionTable<Connection>({maxCount, close, endRequest}: ConnectionTableOptions<Connection>): ConnectionTable<Connection> {
	const states = new Map<Connection, ConnectionState>();
	const byState: Record<ConnectionState, Set<Connection>> = {
		closing: new Set(), new: new Set(), idle: new Set(), busy: new Set(),
	};

	function remove(connection: Connection): void {
		const state = states.get(connection);
		if (state !== undefined) {
			states.delete(connection);
			byState[state].delete(connection);
		}
	}

	function findClosable(): Connection | undefined {
		for (const state of closableStates) {
			const [oldest] = byState[state];
			if (oldest !== undefined) {
				return oldest;
			}
		}

		return undefined;
	}

	function makeRoom(): boolean {
		const closable = findClosable() ?? (endRequest() ? findClosable() : undefined);
		if (closable === undefined) {
			return false;
		}

		remove(closable);
		close(closable);
		return true;
	}

	return {
		add(connection) {
			if (states.size >= maxCount && !makeRoom()) {
				return false;
			}

			states.set(connection, 'new');
			byState.new.add(connection);
			return true;
		},
		setState(connection, state) {
			if (states.has(connection)) {
				remove(connection);
				states.set(connection, state);
				byState[state].add(connection);
			}
		},
		remove,
		getConnections: () => states.keys(),
		getCount: () => states.size,
	};
}
