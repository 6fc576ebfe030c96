import type {TimerService} from '@camphortack/core';

/** A set of recently added keys. */
export type RecentKeys = {
	add(key: string): void;
	has(key: string): boolean;
	close(): void;
};

/**
 * Creates a set that drops keys in bulk after one to two periods.
 * @param timers - The timers.
 * @param periodMs - The minimum time for which a key is kept.
 */
export function createRecentKeys(timers: TimerService, periodMs: number): RecentKeys {
	let newer = new Set<string>();
	let older = new Set<string>();
	const rotation = timers.addInterval(periodMs, () => {
		older = newer;
		newer = new Set();
	});
	return {
		add(key) {
			newer.add(key);
		},
		has: key => newer.has(key) || older.has(key),
		close() {
			rotation.cancel();
		},
	};
}
