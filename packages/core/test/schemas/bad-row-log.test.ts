import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {createBadRowLog} from '../../src/index.js';

const logIntervalMs = 10_000;

function setUp() {
	const events = new RecordingEventLog();
	const metrics = new RecordingMetricSink();
	const timers = new VirtualTimers();
	return {
		events, metrics, timers, badRowLog: createBadRowLog({timers, events, metrics}),
	};
}

function createRows(count: number) {
	return Array.from({length: count}, (_, index) => ({list: 'records', index, reason: 'host: odd'}));
}

describe('createBadRowLog', () => {
	const source = {from: 'daemon-2', kind: 'membership.records'};

	it('counts and logs each row with its place and reason', () => {
		const {events, metrics, badRowLog} = setUp();
		const badRows = [{list: 'records', index: 2, reason: 'host: odd'}, {list: 'records', index: 5, reason: 'odd'}];
		badRowLog.report(source, badRows);
		assert.equal(metrics.getCount('peer-row-dropped'), 2);
		assert.deepEqual(events.events, badRows.map(row => ({name: 'peer-row-dropped', fields: {from: 'daemon-2', kind: 'membership.records', ...row}})));
	});

	it('writes nothing without a bad row', () => {
		const {events, metrics, badRowLog} = setUp();
		badRowLog.report(source, []);
		assert.equal(metrics.getCount('peer-row-dropped'), 0);
		assert.deepEqual(events.events, []);
	});

	// Guards against one odd row that fills the log, since the message that contains it is repeated several times a second.
	const rows = [
		{title: 'many rows of one message', reports: [{from: 'daemon-2', count: 100, afterMs: 0}], logged: 5},
		{title: 'the same message again', reports: [{from: 'daemon-2', count: 1, afterMs: 0}, {from: 'daemon-2', count: 1, afterMs: logIntervalMs - 1}], logged: 1},
		{title: 'the same message later', reports: [{from: 'daemon-2', count: 1, afterMs: 0}, {from: 'daemon-2', count: 1, afterMs: logIntervalMs}], logged: 2},
		{title: 'a message of another daemon', reports: [{from: 'daemon-2', count: 1, afterMs: 0}, {from: 'daemon-3', count: 1, afterMs: 0}], logged: 2},
	];
	for (const {title, reports, logged} of rows) {
		it(`logs ${title} → ${logged} lines, and counts all rows`, () => {
			const {events, metrics, timers, badRowLog} = setUp();
			for (const {from, count, afterMs} of reports) {
				timers.advance(afterMs);
				badRowLog.report({from, kind: 'membership.records'}, createRows(count));
			}

			assert.equal(events.events.length, logged);
			assert.equal(metrics.getCount('peer-row-dropped'), reports.reduce((sum, {count}) => sum + count, 0));
		});
	}
});
