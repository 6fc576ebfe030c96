import assert from 'node:assert/strict';
import {it} from 'node:test';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {createLimitLog} from '../../src/index.js';

// Guards against a line for each of the thousands of connections of a crowd.
it('createLimitLog counts every time, and writes one line a second for each bound', () => {
	const timers = new VirtualTimers();
	const events = new RecordingEventLog();
	const metrics = new RecordingMetricSink();
	const limitLog = createLimitLog({timers, events, metrics});
	for (let count = 0; count < 5; count++) {
		limitLog.record('limit-connections');
	}

	limitLog.record('limit-peer-memory');
	timers.advance(1000);
	limitLog.record('limit-connections');
	assert.equal(metrics.getCount('limit-connections'), 6);
	assert.deepEqual(events.events.map(({fields}) => fields), [
		{limit: 'limit-connections', count: 1}, {limit: 'limit-peer-memory', count: 1}, {limit: 'limit-connections', count: 5},
	]);
});
