/** The usual demand for capacity by key, for example by queue. */
export type UsualDemand = {
	/** Adds a job that has arrived. Work is in core-milliseconds. */
	addJob(key: string, work: number, nowMs: number): void;
	/** Gets the mean demand of a key in cores. */
	getCores(key: string, nowMs: number): number;
	/** Gets the share of a key in the demand of all keys. */
	getShare(key: string, nowMs: number): number;
	/** Whether enough time has been observed to tell the usual demand from an unusual one. */
	isLearned(nowMs: number): boolean;
};

type Sum = {
	work: number;
	atMs: number;
};

/** A burst of a few seconds changes the means little, a lasting change of the load is learned within a minute. */
const meanTimeMs = 30_000;
const minObservationMs = 5000;

/**
 * Creates the means, each a sum that decays exponentially. They handle bursts of one kind of job or of one caller: the demand
 * before the burst tells which jobs belong to it.
 *
 * @example
 * ```ts
 * const demand = createUsualDemand();
 * demand.addJob('estimates', 500, 0);
 * demand.addJob('estimates', 500, 1000);
 * demand.getCores('estimates', 2000); // 0.5
 * ```
 */
export function createUsualDemand(): UsualDemand {
	const sums = new Map<string, Sum>();
	const total: Sum = {work: 0, atMs: 0};
	let firstMs: number | undefined;

	function getObservedMs(nowMs: number): number {
		return firstMs === undefined ? 0 : meanTimeMs * (1 - getDecay(nowMs - firstMs));
	}

	return {
		addJob(key, work, nowMs) {
			firstMs ??= nowMs;
			const sum = sums.get(key) ?? {work: 0, atMs: nowMs};
			sums.set(key, sum);
			addWork(sum, work, nowMs);
			addWork(total, work, nowMs);
		},
		getCores(key, nowMs) {
			const sum = sums.get(key);
			const observedMs = getObservedMs(nowMs);
			return sum === undefined || observedMs === 0 ? 0 : getWork(sum, nowMs) / observedMs;
		},
		getShare(key, nowMs) {
			const sum = sums.get(key);
			return sum === undefined || total.work === 0 ? 0 : getWork(sum, nowMs) / getWork(total, nowMs);
		},
		isLearned: nowMs => firstMs !== undefined && nowMs - firstMs >= minObservationMs,
	};
}

function addWork(sum: Sum, work: number, nowMs: number): void {
	sum.work = getWork(sum, nowMs) + work;
	sum.atMs = nowMs;
}

function getWork({work, atMs}: Sum, nowMs: number): number {
	return work * getDecay(nowMs - atMs);
}

function getDecay(elapsedMs: number): number {
	return Math.exp(-elapsedMs / meanTimeMs);
}
