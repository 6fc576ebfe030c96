import {z} from 'zod';

/** A keeper as the agreed log names it. */
export const keeperRecordSchema = z.object({
	/** The daemon that runs it. */
	keeperId: z.string(),
	/** Stored with its data; a keeper that lost its disk has a new one. */
	identity: z.string(),
	availabilityZone: z.string(),
	/** A learner receives the log but has no vote. */
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
 * Gets how many voters make a majority.
 * @param voterCount - The number of voters.
 */
export function getMajority(voterCount: number): number {
	return Math.floor(voterCount / 2) + 1;
}

/**
 * Gets the highest value that a majority has reached.
 * @param values - What each voter has reached.
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
 * Gets how many voters a set should have: the largest odd number that neither the target nor the keepers exceed.
 * @param keeperCount - The number of keepers.
 * @param maxVoters - The target.
 */
export function getVoterTarget(keeperCount: number, maxVoters: number): number {
	const bound = Math.min(keeperCount, maxVoters);
	return bound % 2 === 0 ? Math.max(1, bound - 1) : bound;
}
