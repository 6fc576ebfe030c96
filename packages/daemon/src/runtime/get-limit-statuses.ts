import type {DistributedLimiter} from '@camphortack/policy';

/** One declared figure and this daemon's share of it. */
export type LimitStatusRow = {
	name: string;
	resource: string;
	/** The declared figure, for all availability zones together. */
	declared: number;
	share: number;
	used: number;
};

/**
 * Gets the limits as operators see them.
 * @param limits - The limit book of this daemon.
 */
export function getLimitStatuses(limits: DistributedLimiter): LimitStatusRow[] {
	return limits.getStatus().limits.map(({limit, resource, capacity, share, held}) => ({
		name: limit, resource, declared: capacity, share, used: held,
	}));
}
