import {z} from 'zod';

/** A member of the set of keepers, as recorded in the replicated log. */
export const keeperRecordSchema = z.object({
	/** The daemon that runs the keeper. */
	keeperId: z.string(),
	/** Stored with the keeper's data. A keeper that lost its disk gets a new identity. */
	identity: z.string(),
	availabilityZone: z.string(),
	/** A learner replicates the log but does not vote. */
	role: z.enum(['voter', 'learner']),
});

export type KeeperRecord = z.infer<typeof keeperRecordSchema>;

/**
 * Gets the voters of a set.
 * @param keepers - The set.
 */
export function getVoters(keepers: readonly KeeperRecord[]): KeeperRecord[] {
	return keepers.filter(keeper => keeper.role === 'voter');
}

/**
 * Gets the number of voters that form a majority.
 * @param voterCount - The number of voters.
 */
export function getMajority(voterCount: number): number {
	return Math.floor(voterCount / 2) + 1;
}

/**
 * Gets the highest value that a majority of voters has reached.
 * @param values - The value that each voter has reached.
 *
 * @example
 * ```ts
 * getMajorityValue([7, 5, 9]); // 7
 * ```
 */
export function getMajorityValue(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => right - left);
	return sorted[getMajority(values.length) - 1] ?? 0;
}

/**
 * Gets the number of voters that a set should have: the largest odd number up to both the maximum and the number of keepers.
 * @param keeperCount - The number of keepers.
 * @param maxVoters - The maximum number of voters.
 */
export function getVoterTarget(keeperCount: number, maxVoters: number): number {
	const bound = Math.min(keeperCount, maxVoters);
	return bound % 2 === 0 ? Math.max(1, bound - 1) : bound;
}
