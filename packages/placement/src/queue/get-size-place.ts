/** The size classes of a queue's jobs: the largest tenth, the fifth below it, and all others. */
export type SizeClass = 'largest' | 'second' | 'other';

/** How the sizes of a queue have been served lately. */
export type SizeState = {
	/** The relative work above which a job is in a class. */
	bounds: Record<Exclude<SizeClass, 'other'>, number>;
	/** The share of the jobs of each class that was served in time. */
	servedShares: Record<Exclude<SizeClass, 'other'>, number>;
	/** The share of all jobs that was served in time. */
	queueServedShare: number;
	/** Relative work that preferred jobs took from other jobs, which jobs of medium size are to give back. */
	debt: number;
};

/** The place of a job among the waiting jobs, by its size. */
export type SizePlace = {
	sizeClass: SizeClass;
	/** The relative work by which it is ordered. */
	orderedWork: number;
	standing: 'preferred' | 'deferred' | 'usual';
};

/** Large jobs are to be served at least this often in relation to their queue. */
const minServedRatio = 0.5;
/**
 * The smallest preferred job is ordered like one of about mean work. Put further ahead, large jobs are served more often, but
 * kinds with short objectives then miss them (docs/design/sharing.md).
 */
const preferredWork = 0.9;
/** The least relative work of a job that is deferred in exchange. Jobs below it are worth the most for their work. */
const minDeferredWork = 0.7;
/** The order by work puts no job behind this. */
const deferredWork = 2;

/**
 * Gets the place of an arriving job. This handles overload that lasts: the order by work alone refuses nearly all large jobs of a
 * queue. While a class of large jobs is served less than half as often as its queue, its jobs are ordered by what their work
 * exceeds the class by, so the smallest of them come first. Medium-sized jobs of the same queue wait behind the others for the
 * work that this takes, so that other queues do not pay for it. While all sizes are served, every job is ordered by its work.
 * @param state - How the sizes of the job's queue have been served.
 * @param relativeWork - The ratio of the job's work to the mean of its queue.
 *
 * @example
 * ```ts
 * const state = {bounds: {largest: 2, second: 1.4}, servedShares: {largest: 0.2, second: 0.7}, queueServedShare: 0.8, debt: 0};
 * getSizePlace(state, 2.5); // {sizeClass: 'largest', orderedWork: 1.4, standing: 'preferred'}
 * ```
 */
export function getSizePlace({bounds, servedShares, queueServedShare, debt}: SizeState, relativeWork: number): SizePlace {
	const sizeClass = getSizeClass(bounds, relativeWork);
	if (sizeClass !== 'other') {
		return servedShares[sizeClass] < queueServedShare * minServedRatio
			? {sizeClass, orderedWork: preferredWork + relativeWork - bounds[sizeClass], standing: 'preferred'}
			: {sizeClass, orderedWork: relativeWork, standing: 'usual'};
	}

	return relativeWork > minDeferredWork && debt >= relativeWork
		? {sizeClass, orderedWork: deferredWork, standing: 'deferred'}
		: {sizeClass, orderedWork: relativeWork, standing: 'usual'};
}

function getSizeClass(bounds: SizeState['bounds'], relativeWork: number): SizeClass {
	if (relativeWork > bounds.largest) {
		return 'largest';
	}

	return relativeWork > bounds.second ? 'second' : 'other';
}
