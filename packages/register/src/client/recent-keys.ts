import type {TimerService} from '@camphortack/core';

/** Keys that were added a short while ago. */
export type RecentKeys = {
	add(key: string): void;
	has(key: string): boolean;
	close(): void;
};

/**
 * Creates a set that forgets keys, in bulk, after one to two periods.
 * @param timers - The timers.
 * @param periodMs - How long a key is kept at least.
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
