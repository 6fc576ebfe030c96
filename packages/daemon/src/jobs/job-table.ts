import type {JobOutcome} from '@camphortack/core';
import {serializeOutcome} from './serialize-outcome.js';

/** The state that this daemon keeps for one job. */
export type JobEntry = {
	id: string;
	/** The customer that submitted the job; only this customer may query or cancel it. */
	customer: string;
	waiters: Set<(outcome: JobOutcome) => void>;
	outcome?: JobOutcome;
	endedAtMs?: number;
};

export type JobTableOptions = {
	/** How long an outcome is kept after the job has ended. */
	retentionMs: number;
	/** The maximum total size of the kept outcomes; the oldest are evicted first. */
	maxOutcomeBytes: number;
};

/** The running and the recently ended jobs of this daemon, for lookups by id. */
export type JobTable = {
	findEntry(id: string): JobEntry | undefined;
	/** Gets the open entry of a job, or adds one. */
	getOpenEntry(id: string, customer: string): JobEntry;
	/** Stores the outcome and passes it to all waiters. The entry of a refused job is removed, because none of its tasks ran. */
	completeEntry(id: string, outcome: JobOutcome, nowMs: number): void;
	/** Removes the outcomes whose retention period has passed. */
	removeExpiredOutcomes(nowMs: number): void;
	getOpenCount(): number;
	getEndedCount(): number;
};

/**
 * Creates a job table. The memory used by outcomes is bounded.
 * @param options - The retention period and the size bound of the outcomes.
 *
 * @example
 * ```ts
 * const table = createJobTable({retentionMs: 600_000, maxOutcomeBytes: 16_777_216});
 * table.getOpenEntry('job-1', 'workshop-chain').waiters.add(answer);
 * table.completeEntry('job-1', outcome, timers.getNowMs());
 * ```
 */
export function createJobTable({retentionMs, maxOutcomeBytes}: JobTableOptions): JobTable {
	const openEntries = new Map<string, JobEntry>();
	/** Ordered by end time, oldest first. */
	const endedEntries = new Map<string, JobEntry>();
	let outcomeBytes = 0;

	const removeEndedEntry = (entry: JobEntry) => {
		endedEntries.delete(entry.id);
		outcomeBytes -= entry.outcome === undefined ? 0 : serializeOutcome(entry.outcome).length;
	};

	const addEndedEntry = (entry: JobEntry, outcome: JobOutcome) => {
		const previous = endedEntries.get(entry.id);
		if (previous !== undefined) {
			removeEndedEntry(previous);
		}

		endedEntries.set(entry.id, entry);
		outcomeBytes += serializeOutcome(outcome).length;
		for (const oldest of endedEntries.values()) {
			if (outcomeBytes <= maxOutcomeBytes) {
				return;
			}

			removeEndedEntry(oldest);
		}
	};

	return {
		findEntry: id => openEntries.get(id) ?? endedEntries.get(id),
		getOpenEntry(id, customer) {
			const known = openEntries.get(id);
			if (known !== undefined) {
				return known;
			}

			const entry: JobEntry = {id, customer, waiters: new Set()};
			openEntries.set(id, entry);
			return entry;
		},
		completeEntry(id, outcome, nowMs) {
			const entry = openEntries.get(id);
			if (entry === undefined) {
				return;
			}

			openEntries.delete(id);
			entry.outcome = outcome;
			entry.endedAtMs = nowMs;
			if (outcome.outcome !== 'refused') {
				addEndedEntry(entry, outcome);
			}

			const waiters = [...entry.waiters];
			entry.waiters.clear();
			for (const waiter of waiters) {
				waiter(outcome);
			}
		},
		removeExpiredOutcomes(nowMs) {
			for (const entry of endedEntries.values()) {
				if (nowMs - (entry.endedAtMs ?? nowMs) < retentionMs) {
					return;
				}

				removeEndedEntry(entry);
			}
		},
		getOpenCount: () => openEntries.size,
		getEndedCount: () => endedEntries.size,
	};
}
