import type {TimerService} from '@camphortack/core';

/** The backend servers of which something has happened a short time ago. */
export type RecentServers = {
	add(serverId: string): void;
	has(serverId: string): boolean;
	getIds(): string[];
};

/**
 * Creates an empty set.
 * @param timers - The clock.
 * @param durationMs - How long a backend server stays in the set.
 *
 * @example
 * ```ts
 * const started = createRecentServers(timers, 40);
 * started.add('server-1');
 * started.has('server-1'); // true, until 40 ms have passed
 * ```
 */
export function createRecentServers(timers: TimerService, durationMs: number): RecentServers {
	/** The times by backend server, oldest first. */
	const timesMs = new Map<string, number>();

	function isRecent(atMs: number): boolean {
		return timers.getNowMs() - atMs <= durationMs;
	}

	function removeExpired(): void {
		for (const [serverId, atMs] of timesMs) {
			if (isRecent(atMs)) {
				return;
			}

			timesMs.delete(serverId);
		}
	}

	return {
		add(serverId) {
			timesMs.delete(serverId);
			timesMs.set(serverId, timers.getNowMs());
		},
		has: serverId => isRecent(timesMs.get(serverId) ?? Number.NEGATIVE_INFINITY),
		getIds() {
			removeExpired();
			return [...timesMs.keys()];
		},
	};
}
