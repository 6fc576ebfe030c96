import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** One partition of the ids of the callers' own choosing. */
export type PartitionAssignment = {
	/** The keeper that decides about the ids of the partition. */
	ownerId: string;
	/** The keeper that owned it before, which hands its records over. */
	previousOwnerId?: string;
	/** Whether the previous owner is gone for good, with its records. */
	isPreviousOwnerLost?: boolean;
};

/** Which keeper owns which ids. Changes only by an agreed change of the configuration. */
export type RegisterAssignment = {
	/** Rises with each change. */
	version: number;
	/** By partition; the number of partitions never changes. */
	partitions: readonly PartitionAssignment[];
};

/** How many partitions there are. */
export const partitionCount = 64;

/**
 * Gets the partition of an id.
 * @param id - The id.
 */
export function getPartition(id: string): number {
	return h32(id) % partitionCount;
}

/**
 * Creates an assignment that spreads the partitions evenly, or changes an earlier one.
 * A keeper that stays keeps as many partitions as its even share allows.
 * @param keeperIds - The keepers that are to own the partitions.
 * @param previous - The assignment that it follows.
 * @param lostKeeperIds - Keepers that are gone for good, with their disks.
 *
 * @example
 * ```ts
 * const first = createAssignment(['keeper-1', 'keeper-2']);
 * const second = createAssignment(['keeper-2', 'keeper-3'], first, ['keeper-1']);
 * ```
 */
export function createAssignment(keeperIds: readonly string[], previous?: RegisterAssignment, lostKeeperIds: readonly string[] = []): RegisterAssignment {
	const maxPerKeeper = Math.ceil(partitionCount / keeperIds.length);
	const counts = new Map<string, number>(keeperIds.map(keeperId => [keeperId, 0]));
	const owners = Array.from({length: partitionCount}, (_, partition) => {
		const ownerId = previous?.partitions[partition]?.ownerId;
		const count = ownerId === undefined ? undefined : counts.get(ownerId);
		if (ownerId === undefined || count === undefined || count >= maxPerKeeper) {
			return undefined;
		}

		counts.set(ownerId, count + 1);
		return ownerId;
	});
	const partitions = owners.map((ownerId, partition) => {
		const previousPartition = previous?.partitions[partition];
		if (ownerId !== undefined) {
			return previousPartition!;
		}

		const nextOwnerId = keeperIds.find(keeperId => counts.get(keeperId)! < maxPerKeeper)!;
		counts.set(nextOwnerId, counts.get(nextOwnerId)! + 1);
		return {
			ownerId: nextOwnerId,
			...(previousPartition !== undefined && {previousOwnerId: previousPartition.ownerId, isPreviousOwnerLost: lostKeeperIds.includes(previousPartition.ownerId)}),
		};
	});
	return {version: (previous?.version ?? 0) + 1, partitions};
}
