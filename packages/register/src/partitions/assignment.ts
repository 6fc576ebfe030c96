import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Ownership of one partition of the id space. */
export type PartitionAssignment = {
	/** The keeper that decides claims for the ids of the partition. */
	ownerId: string;
	/** The keeper that owned the partition before and transfers its records. */
	previousOwnerId?: string;
	/** Whether the previous owner is permanently lost, together with its records. */
	isPreviousOwnerLost?: boolean;
};

/** Maps partitions of ids to keepers. Changes only through an agreed change of the configuration. */
export type RegisterAssignment = {
	/** Increases with each change. */
	version: number;
	/** Indexed by partition number; the number of partitions is fixed. */
	partitions: readonly PartitionAssignment[];
};

export const partitionCount = 64;

/**
 * Maps an id to its partition by hash.
 * @param id - The id.
 */
export function getPartition(id: string): number {
	return h32(id) % partitionCount;
}

/**
 * Distributes the partitions evenly among the keepers, optionally starting from an earlier assignment.
 * To limit the number of transfers, a remaining keeper retains its partitions up to its even share.
 * @param keeperIds - The keepers that will own the partitions.
 * @param previous - The assignment to be replaced.
 * @param lostKeeperIds - Keepers that are permanently lost, including their disks.
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
