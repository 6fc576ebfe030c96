import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {leftJobRetentionMs} from '../../src/cluster-timings.js';
import {createEntryReports} from '../../src/placing/entry-reports.js';

describe('createEntryReports', () => {
	const rows: Array<{title: string; entries: Array<{id: string; upMs: number}>; reports: Record<string, string[]>; expected: boolean}> = [
		{
			title: 'no entry daemon', entries: [], reports: {}, expected: false,
		},
		{
			title: 'an entry daemon that has not reported', entries: [{id: 'a', upMs: 9000}, {id: 'b', upMs: 9000}], reports: {a: []}, expected: true,
		},
		{
			title: 'all have reported', entries: [{id: 'a', upMs: 9000}, {id: 'b', upMs: 9000}], reports: {a: [], b: ['other']}, expected: false,
		},
		{
			title: 'one has left the job', entries: [{id: 'a', upMs: 9000}, {id: 'b', upMs: 9000}], reports: {a: [], b: ['job']}, expected: true,
		},
		{
			title: 'a report of an entry daemon of another zone that has left the job', entries: [{id: 'a', upMs: 9000}], reports: {a: [], far: ['job']}, expected: true,
		},
		{
			title: 'one that has restarted knows nothing of its earlier jobs', entries: [{id: 'a', upMs: leftJobRetentionMs - 1}], reports: {a: []}, expected: true,
		},
	];
	for (const {title, entries, reports, expected} of rows) {
		// Guards against a second run of a job that the placer before has started for another entry daemon.
		it(`${title} → ${expected ? 'an earlier placer may have started the job' : 'no earlier placer has started the job'}`, () => {
			const entryReports = createEntryReports(() => entries);
			for (const [entryId, leftJobIds] of Object.entries(reports)) {
				entryReports.addReport(entryId, leftJobIds);
			}

			assert.equal(entryReports.mayHaveStarted('job'), expected);
		});
	}

	// Guards against reports to a term of the same daemon that ended before another placer placed.
	it('forgets the reports when a term begins', () => {
		const entryReports = createEntryReports(() => [{id: 'a', upMs: 9000}]);
		entryReports.addReport('a', []);
		entryReports.startTerm(0);
		assert.equal(entryReports.mayHaveStarted('job'), true);
	});
});
