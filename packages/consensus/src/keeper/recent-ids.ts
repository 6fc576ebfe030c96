/** The newest ids that were added. */
export type RecentIds = {
	has(id: string): boolean;
	add(id: string): void;
	clear(): void;
};

/**
 * Creates an empty set of ids that forgets the one that was added longest ago when it is full.
 * @param maxCount - The number of ids that it keeps.
 */
export function createRecentIds(maxCount: number): RecentIds {
	const ids = new Set<string>();
	return {
		has: id => ids.has(id),
		add(id) {
			ids.delete(id);
			ids.add(id);
			if (ids.size > maxCount) {
				const [oldestId] = ids;
				ids.delete(oldestId!);
			}
		},
		clear() {
			ids.clear();
		},
	};
}
