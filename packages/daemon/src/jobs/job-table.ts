import type {JobOutcome} from '@camphortack/core';
import {getOutcomeText} from './get-outcome-text.js';

/** What this daemon remembers of one job. */
export type JobEntry = {
	id: string;
	/** Who submitted it, and alone may ask for it or cancel it. */
	customer: string;
	waiters: Set<(outcome: JobOutcome) => void>;
	outcome?: JobOutcome;
	endedAtMs?: number;
};

export type JobTableOptions = {
	/** How long an outcome is kept after the job's end. */
	retentionMs: number;
	/** How many bytes of outcomes are kept at most; the oldest go first. */
	mostOutcomeBytes: number;
};

/** The jobs that run through this daemon, and those that ended not long ago, for callers who ask by id. */
export type JobTable = {
	findEntry(id: string): JobEntry | undefined;
	/** Gets the entry of a job, and adds one if there is none that is open. */
	getOpenEntry(id: string, customer: string): JobEntry;
	/** Stores the outcome and answers everybody who waits. A refused job is forgotten, since none of it ran. */
	endEntry(id: string, outcome: JobOutcome, nowMs: number): void;
	/** Drops the outcomes whose retention has passed. */
	dropExpired(nowMs: number): void;
	getOpenCount(): number;
	getEndedCount(): number;
};

/**
 * Creates a table of jobs with bounded memory.
 * @param options - How long and how many bytes of outcomes are kept.
 *
 * @example
 * ```ts
 * const table = createJobTable({retentionMs: 600_000, mostOutcomeBytes: 16_777_216});
 * table.getOpenEntry('job-1', 'workshop-chain').waiters.add(answer);
 * table.endEntry('job-1', outcome, timers.getNowMs());
 * ```
 */
export function createJobTable({retentionMs, mostOutcomeBytes}: JobTableOptions): JobTable {
	const openEntries = new Map<string, JobEntry>();
	/** In the order in which the jobs ended, so that the oldest come first. */
	const endedEntries = new Map<string, JobEntry>();
	let outcomeBytes = 0;

	const dropEnded = (entry: JobEntry) => {
		endedEntries.delete(entry.id);
		outcomeBytes -= entry.outcome === undefined ? 0 : getOutcomeText(entry.outcome).length;
	};

	const addEnded = (entry: JobEntry, outcome: JobOutcome) => {
		const earlier = endedEntries.get(entry.id);
		if (earlier !== undefined) {
			dropEnded(earlier);
		}

		endedEntries.set(entry.id, entry);
		outcomeBytes += getOutcomeText(outcome).length;
		for (const oldest of endedEntries.values()) {
			if (outcomeBytes <= mostOutcomeBytes) {
				return;
			}

			dropEnded(oldest);
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
		endEntry(id, outcome, nowMs) {
			const entry = openEntries.get(id);
			if (entry === undefined) {
				return;
			}

			openEntries.delete(id);
			entry.outcome = outcome;
			entry.endedAtMs = nowMs;
			if (outcome.outcome !== 'refused') {
				addEnded(entry, outcome);
			}

			const waiters = [...entry.waiters];
			entry.waiters.clear();
			for (const answer of waiters) {
				answer(outcome);
			}
		},
		dropExpired(nowMs) {
			for (const entry of endedEntries.values()) {
				if (nowMs - (entry.endedAtMs ?? nowMs) < retentionMs) {
					return;
				}

				dropEnded(entry);
			}
		},
		getOpenCount: () => openEntries.size,
		getEndedCount: () => endedEntries.size,
	};
}
