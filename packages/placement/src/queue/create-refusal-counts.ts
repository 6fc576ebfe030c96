/** Counts the recent refusals of each queue. */
export type RefusalCounts = {
	/** Counts a refusal and returns the number of recent ones, with this one. */
	addRefusal(queueName: string, nowMs: number): number;
};

/** The refusals of this time are counted in full in the mean. */
const windowMs = 2000;

/** Creates the counts, which decay exponentially. */
export function createRefusalCounts(): RefusalCounts {
	const counts = new Map<string, {count: number; atMs: number}>();
	return {
		addRefusal(queueName, nowMs) {
			const {count, atMs} = counts.get(queueName) ?? {count: 0, atMs: nowMs};
			const next = (count * Math.exp((atMs - nowMs) / windowMs)) + 1;
			counts.set(queueName, {count: next, atMs: nowMs});
			return next;
		},
	};
}
