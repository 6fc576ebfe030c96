import type {DistributedLimiter} from '@camphortack/policy';

/** The declared capacity of a resource under a limit, and this daemon's share of it. */
export type LimitStatusRow = {
	name: string;
	resource: string;
	/** The declared capacity, for all availability zones together. */
	declared: number;
	share: number;
	used: number;
};

/**
 * Gets the limits in the form of the operators' interface.
 * @param limits - The distributed limiter of this daemon.
 */
export function getLimitStatuses(limits: DistributedLimiter): LimitStatusRow[] {
	return limits.getStatus().limits.map(({limit, resource, capacity, share, held}) => ({
		name: limit, resource, declared: capacity, share, used: held,
	}));
}
