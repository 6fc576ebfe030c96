/** What an entry daemon tells the placer of a shard about its jobs. */
export type OpenJobList = {
	/** The jobs whose results the daemon asks for. */
	jobIds: string[];
	/** Further jobs that it waits for; missing if there are none. */
	otherJobIds?: string[];
	/** The jobs that the placer may have to look for, since it has not been handed them; missing if there are none. */
	leftJobIds?: string[];
};

/** The lists for the placers of all shards that have to learn something. */
export type OpenJobLists = {
	add(shard: string, part: keyof OpenJobList, jobIds: readonly string[]): void;
	getLists(): Iterable<[shard: string, list: OpenJobList]>;
};

/**
 * Creates the lists, with an empty one for the own shard.
 * @param ownShard - The shard whose placer gets a list in any case.
 *
 * @example
 * ```ts
 * const lists = createOpenJobLists('zone-a');
 * lists.add('zone-b', 'jobIds', ['job']);
 * [...lists.getLists()].map(([shard]) => shard); // ['zone-a', 'zone-b']
 * ```
 */
export function createOpenJobLists(ownShard: string): OpenJobLists {
	const lists = new Map<string, OpenJobList>([[ownShard, {jobIds: []}]]);

	return {
		add(shard, part, jobIds) {
			const list = lists.get(shard) ?? {jobIds: []};
			lists.set(shard, list);
			list[part] ??= [];
			for (const jobId of jobIds) {
				list[part].push(jobId);
			}
		},
		getLists: () => lists,
	};
}
