/** A process that claimed jobs. All its records share one object, so that `isGone` applies to each of them. */
export type Claimant = {
	readonly daemonId: string;
	readonly incarnation: string;
	isGone: boolean;
};

/** The state of one job id in the register. */
export type JobRecord = {
	readonly contentHash: string;
	readonly claimant: Claimant;
	readonly claim: number;
	readonly taskCount: number;
	readonly isEnded: boolean;
};

/** The records of the ids claimed within the retention period. */
export type JobRecords = {
	findRecord(id: string): JobRecord | undefined;
	/** Adds or replaces the record of an id. A replaced record keeps its original expiry. */
	setRecord(id: string, record: JobRecord, atMs: number): void;
	removeRecord(id: string): void;
	/** Iterates over all records by generation, oldest first. */
	getRecords(): Iterable<{id: string; record: JobRecord; atMs: number}>;
	/** Drops whole generations whose records are all older than the retention period. */
	dropExpired(nowMs: number): void;
	getCount(): number;
	/** Gets or creates the claimant; there is one object per incarnation. */
	getClaimant(daemonId: string, incarnation: string): Claimant;
	getClaimants(): Iterable<Claimant>;
};

type Generation = {
	startedAtMs: number;
	records: Map<string, JobRecord>;
};

/** Number of generations per retention period. Records expire one generation at a time. */
const generationsPerRetention = 8;

/**
 * Creates an empty set of records.
 * @param retentionMs - The minimum time for which a record is kept.
 */
export function createJobRecords(retentionMs: number): JobRecords {
	const generationMs = retentionMs / generationsPerRetention;
	const generations: Generation[] = [];
	const claimants = new Map<string, Claimant>();

	function findGeneration(id: string): Generation | undefined {
		return generations.findLast(generation => generation.records.has(id));
	}

	function getNewestGeneration(atMs: number): Generation {
		const newest = generations.at(-1);
		if (newest !== undefined && atMs < newest.startedAtMs + generationMs) {
			return newest;
		}

		const added = {startedAtMs: atMs, records: new Map<string, JobRecord>()};
		generations.push(added);
		return added;
	}

	function dropUnusedClaimants(): void {
		const used = new Set<Claimant>();
		for (const {records} of generations) {
			for (const record of records.values()) {
				used.add(record.claimant);
			}
		}

		for (const [incarnation, claimant] of claimants) {
			if (!used.has(claimant)) {
				claimants.delete(incarnation);
			}
		}
	}

	return {
		findRecord: id => findGeneration(id)?.records.get(id),
		setRecord(id, record, atMs) {
			(findGeneration(id) ?? getNewestGeneration(atMs)).records.set(id, record);
		},
		removeRecord(id) {
			findGeneration(id)?.records.delete(id);
		},
		* getRecords() {
			// Copied because generations may be dropped while the caller is iterating.
			const kept = [...generations];
			for (const {startedAtMs, records} of kept) {
				for (const [id, record] of records) {
					yield {id, record, atMs: startedAtMs};
				}
			}
		},
		dropExpired(nowMs) {
			let dropCount = 0;
			while (dropCount < generations.length && generations[dropCount]!.startedAtMs + generationMs + retentionMs <= nowMs) {
				dropCount++;
			}

			if (dropCount > 0) {
				generations.splice(0, dropCount);
				dropUnusedClaimants();
			}
		},
		getCount: () => generations.reduce((count, {records}) => count + records.size, 0),
		getClaimant(daemonId, incarnation) {
			let claimant = claimants.get(incarnation);
			if (claimant === undefined) {
				claimant = {daemonId, incarnation, isGone: false};
				claimants.set(incarnation, claimant);
			}

			return claimant;
		},
		getClaimants: () => claimants.values(),
	};
}
