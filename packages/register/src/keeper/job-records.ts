/** A process that claimed jobs. Shared by its records. */
export type Claimant = {
	readonly daemonId: string;
	readonly incarnation: string;
	isGone: boolean;
};

/** What the register knows of one id. */
export type JobRecord = {
	readonly contentHash: string;
	readonly claimant: Claimant;
	readonly claim: number;
	readonly taskCount: number;
	readonly isEnded: boolean;
};

/** The records of the ids that were claimed within the retention. */
export type JobRecords = {
	findRecord(id: string): JobRecord | undefined;
	/** Adds a record, or replaces the earlier one of the id. */
	setRecord(id: string, record: JobRecord, atMs: number): void;
	removeRecord(id: string): void;
	/** Gets every record, oldest first. */
	getRecords(): Iterable<{id: string; record: JobRecord; atMs: number}>;
	/** Drops, in bulk, what is older than the retention. */
	dropExpired(nowMs: number): void;
	getCount(): number;
	/** Gets the process, one object for each incarnation. */
	getClaimant(daemonId: string, incarnation: string): Claimant;
	getClaimants(): Iterable<Claimant>;
};

type Generation = {
	startedAtMs: number;
	records: Map<string, JobRecord>;
};

/** The retention is kept in this many parts, each dropped as a whole. */
const generationsPerRetention = 8;

/**
 * Creates an empty set of records.
 * @param retentionMs - How long a record is kept at least.
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
			// A copy, since generations may be dropped while a caller takes the records one by one.
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
