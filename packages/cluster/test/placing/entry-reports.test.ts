import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {candidateTimeoutMs, leftJobRetentionMs} from '../../src/cluster-timings.js';
import {createEntryReports, type ReportingEntry} from '../../src/placing/entry-reports.js';

describe('createEntryReports', () => {
	const rows: Array<{title: string; entries: ReportingEntry[]; reports: Record<string, string[]>; expected: boolean}> = [
		{
			title: 'no entry daemon', entries: [], reports: {}, expected: false,
		},
		{
			title: 'an entry daemon that has not reported', entries: [{id: 'a', upMs: 9000, silenceMs: 20}, {id: 'b', upMs: 9000, silenceMs: 20}], reports: {a: []}, expected: true,
		},
		{
			title: 'all have reported', entries: [{id: 'a', upMs: 9000, silenceMs: 20}, {id: 'b', upMs: 9000, silenceMs: 20}], reports: {a: [], b: ['other']}, expected: false,
		},
		{
			title: 'one has left the job', entries: [{id: 'a', upMs: 9000, silenceMs: 20}, {id: 'b', upMs: 9000, silenceMs: 20}], reports: {a: [], b: ['job']}, expected: true,
		},
		{
			title: 'a report of an entry daemon of another zone that has left the job', entries: [{id: 'a', upMs: 9000, silenceMs: 20}], reports: {a: [], far: ['job']}, expected: true,
		},
		{
			title: 'one that has restarted knows nothing of its earlier jobs', entries: [{id: 'a', upMs: leftJobRetentionMs - 1, silenceMs: 20}], reports: {a: []}, expected: true,
		},
	];
	for (const {title, entries, reports, expected} of rows) {
		// Guards against a second run of a job that the placer before has started for another entry daemon.
		it(`${title} → ${expected ? 'an earlier placer may have started the job' : 'no earlier placer has started the job'}`, () => {
			const entryReports = createEntryReports(() => entries);
			for (const [entryId, leftJobIds] of Object.entries(reports)) {
				entryReports.addReport(entryId, {openJobIds: [], leftJobIds});
			}

			assert.equal(entryReports.mayHaveStarted('job'), expected);
		});
	}

	// Guards against reports to a term of the same daemon that ended before another placer placed.
	it('forgets the reports when a term begins', () => {
		const entryReports = createEntryReports(() => [{id: 'a', upMs: 9000, silenceMs: 20}]);
		entryReports.addReport('a', {openJobIds: [], leftJobIds: []});
		entryReports.startTerm(0);
		assert.equal(entryReports.mayHaveStarted('job'), true);
	});

	const handovers: Array<{title: string; entries: ReportingEntry[]; reports: Record<string, string[]>; expected: boolean}> = [
		{
			title: 'an entry daemon that has not reported', entries: [{id: 'a', upMs: 9000, silenceMs: 20}], reports: {}, expected: true,
		},
		{
			title: 'all have reported other jobs', entries: [{id: 'a', upMs: 9000, silenceMs: 20}], reports: {a: ['other']}, expected: false,
		},
		{
			title: 'one waits for the job', entries: [{id: 'a', upMs: 9000, silenceMs: 20}], reports: {a: ['job']}, expected: true,
		},
		{
			title: 'one of another zone waits for the job', entries: [{id: 'a', upMs: 9000, silenceMs: 20}], reports: {a: [], far: ['job']}, expected: true,
		},
		{
			title: 'one that has not reported is not heard any more',
			entries: [{id: 'a', upMs: 9000, silenceMs: 20}, {id: 'b', upMs: 9000, silenceMs: candidateTimeoutMs}],
			reports: {a: []},
			expected: false,
		},
		{
			title: 'one that has restarted and reported', entries: [{id: 'a', upMs: 100, silenceMs: 20}], reports: {a: []}, expected: false,
		},
	];
	for (const {title, entries, reports, expected} of handovers) {
		// Guards against runs that lose their lease beside one that nobody waits for, and against the stop of a run whose job is handed over a moment later.
		it(`${title} → the job ${expected ? 'may' : 'will not'} be handed over`, () => {
			const entryReports = createEntryReports(() => entries);
			for (const [entryId, openJobIds] of Object.entries(reports)) {
				entryReports.addReport(entryId, {openJobIds, leftJobIds: []});
			}

			assert.equal(entryReports.mayBeHandedOver('job'), expected);
		});
	}
});
