/** Work that each key may still use within its guaranteed share, in core-milliseconds. */
export type WorkCredits = {
	/** Gets the credit of a key, which accrues at the given rate since it was last asked for. */
	getCredit(key: string, cores: number, nowMs: number): number;
	/** Uses up credit; the credit may become negative, down to the same bound. */
	useCredit(key: string, work: number): void;
};

type Credit = {
	work: number;
	cores: number;
	atMs: number;
};

/**
 * Creates the credits. A key saves up what it accrues in `depthMs` at most, and owes no more than that, so that neither an idle
 * time nor the use of capacity that nobody else wanted counts for long.
 * @param depthMs - The time within which demand may vary around its mean.
 *
 * @example
 * ```ts
 * const credits = createWorkCredits(1000);
 * credits.getCredit('estimates', 4, 0); // 4000
 * credits.useCredit('estimates', 3000);
 * credits.getCredit('estimates', 4, 500); // 3000
 * ```
 */
export function createWorkCredits(depthMs: number): WorkCredits {
	const credits = new Map<string, Credit>();
	return {
		getCredit(key, cores, nowMs) {
			const credit = credits.get(key) ?? {work: cores * depthMs, cores, atMs: nowMs};
			credits.set(key, credit);
			credit.work = Math.min(cores * depthMs, credit.work + ((nowMs - credit.atMs) * cores));
			credit.cores = cores;
			credit.atMs = nowMs;
			return credit.work;
		},
		useCredit(key, work) {
			const credit = credits.get(key);
			if (credit !== undefined) {
				credit.work = Math.max(-credit.cores * depthMs, credit.work - work);
			}
		},
	};
}
