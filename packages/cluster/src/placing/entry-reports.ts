import type {EarlierJobs} from '@camphortack/placement';
import {candidateTimeoutMs, leftJobRetentionMs} from '../cluster-timings.js';

/** A daemon that may have submitted jobs to the placers before. */
export type ReportingEntry = {
	id: string;
	/** For how long its process has been up; it knows nothing of the jobs of an earlier process. */
	upMs: number;
	/** The time since it was last heard. */
	silenceMs: number;
};

/** What an entry daemon has reported about its jobs. */
export type EntryReport = {
	/** The jobs that it waits for. */
	openJobIds: readonly string[];
	/** The jobs that earlier placers may have started, and that it does not hand over. */
	leftJobIds: readonly string[];
};

/** What the entry daemons have reported to the placer of a term about their jobs that earlier placers may have started. */
export type EntryReports = EarlierJobs & {
	/** Forgets all reports, as a term begins, when the placer before had been silent for a time. */
	startTerm(silenceMs: number): void;
	/** Adds the report of an entry daemon that has handed over its open jobs. */
	addReport(entryId: string, report: EntryReport): void;
};

/**
 * Creates the reports of a term. An earlier placer may have started a job that no submission hands over while an entry daemon has
 * not reported, or if one has reported that it no longer waits for it.
 * @param getEntries - Gets the entry daemons that were heard recently enough for runs of their jobs to be in progress.
 *
 * @example
 * ```ts
 * const reports = createEntryReports(() => [{id: 'entry-1', upMs: 60_000, silenceMs: 20}]);
 * reports.mayHaveStarted('job'); // true
 * reports.addReport('entry-1', {openJobIds: [], leftJobIds: []});
 * reports.mayHaveStarted('job'); // false
 * ```
 */
export function createEntryReports(getEntries: () => readonly ReportingEntry[]): EntryReports {
	const reportedIds = new Set<string>();
	const openJobIds = new Set<string>();
	const leftJobIds = new Set<string>();
	let placerSilenceMs = 0;

	return {
		startTerm(silenceMs) {
			placerSilenceMs = silenceMs;
			reportedIds.clear();
			openJobIds.clear();
			leftJobIds.clear();
		},
		addReport(entryId, report) {
			reportedIds.add(entryId);
			for (const jobId of report.openJobIds) {
				openJobIds.add(jobId);
			}

			for (const jobId of report.leftJobIds) {
				leftJobIds.add(jobId);
			}
		},
		getSilenceMs: () => placerSilenceMs,
		mayBeHandedOver: jobId => openJobIds.has(jobId) || getEntries().some(({id, silenceMs}) => silenceMs < candidateTimeoutMs && !reportedIds.has(id)),
		mayHaveStarted: jobId => leftJobIds.has(jobId) || getEntries().some(({id, upMs}) => upMs < leftJobRetentionMs || !reportedIds.has(id)),
	};
}
