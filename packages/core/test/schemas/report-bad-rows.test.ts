import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordingEventLog, RecordingMetricSink} from '@camphortack/testkit';
import {reportBadRows} from '../../src/index.js';

describe('reportBadRows', () => {
	it('counts and logs each row with its place and reason', () => {
		const events = new RecordingEventLog();
		const metrics = new RecordingMetricSink();
		const badRows = [{list: 'records', index: 2, reason: 'host: odd'}, {list: 'records', index: 5, reason: 'odd'}];
		reportBadRows({events, metrics}, {from: 'daemon-2', kind: 'membership.records'}, badRows);
		assert.equal(metrics.getCount('peer-row-dropped'), 2);
		assert.deepEqual(events.events, badRows.map(row => ({name: 'peer-row-dropped', fields: {from: 'daemon-2', kind: 'membership.records', ...row}})));
	});
});
