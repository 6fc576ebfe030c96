import type {JobOutcome} from '@camphortack/core';

/** What this daemon remembers of one job. */
export type JobEntry = {
	id: string;
	contentHash: string;
	outcome?: JobOutcome;
	endedAtMs?: number;
	waiters: Set<(outcome: JobOutcome) => void>;
};

export type JobTableOptions = {
	/** How long an outcome is kept after the job's end. */
	retentionMs: number;
	/** How many ended jobs are kept at most; the oldest go first. */
	mostEndedJobs: number;
};

/** The jobs that this daemon runs, and those that ended not long ago. */
export type JobTable = {
	findEntry(id: string): JobEntry | undefined;
	addEntry(id: string, contentHash: string): JobEntry;
	/** Stores the outcome and answers everybody who waits. A refused job is forgotten, since none of it ran. */
	endEntry(id: string, outcome: JobOutcome, nowMs: number): void;
	/** Drops the outcomes whose retention has passed. */
	dropExpired(nowMs: number): void;
	getOpenCount(): number;
	getEndedCount(): number;
};

/**
 * Creates a table of jobs with bounded memory.
 * @param options - How long and how many ended jobs are kept.
 *
 * @example
 * ```ts
 * const table = createJobTable({retentionMs: 600_000, mostEndedJobs: 100_000});
 * table.addEntry('job-1', hash).waiters.add(answer);
 * table.endEntry('job-1', outcome, timers.getNowMs());
 * ```
 */
export function createJobTable(options: JobTableOptions): JobTable {
	const openEntries = new Map<string, JobEntry>();
	/** In the order in which the jobs ended, so that the oldest come first. */
	const endedEntries = new Map<string, JobEntry>();

	const dropOldest = () => {
		const [oldestId] = endedEntries.keys();
		if (oldestId !== undefined) {
			endedEntries.delete(oldestId);
		}
	};

	return {
		findEntry: id => openEntries.get(id) ?? endedEntries.get(id),
		addEntry(id, contentHash) {
			const entry: JobEntry = {id, contentHash, waiters: new Set()};
			openEntries.set(id, entry);
			return entry;
		},
		endEntry(id, outcome, nowMs) {
			const entry = openEntries.get(id);
			if (entry === undefined) {
				return;
			}

			openEntries.delete(id);
			entry.outcome = outcome;
			entry.endedAtMs = nowMs;
			if (outcome.outcome !== 'refused') {
				endedEntries.set(id, entry);
			}

			if (endedEntries.size > options.mostEndedJobs) {
				dropOldest();
			}

			const waiters = [...entry.waiters];
			entry.waiters.clear();
			for (const answer of waiters) {
				answer(outcome);
			}
		},
		dropExpired(nowMs) {
			for (const entry of endedEntries.values()) {
				if (nowMs - (entry.endedAtMs ?? nowMs) < options.retentionMs) {
					return;
				}

				endedEntries.delete(entry.id);
			}
		},
		getOpenCount: () => openEntries.size,
		getEndedCount: () => endedEntries.size,
	};
}
