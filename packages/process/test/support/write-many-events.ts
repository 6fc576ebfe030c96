import process from 'node:process';
import {RecordingMetricSink} from '@camphortack/testkit';
import {JsonEventLog, SystemTimers} from '../../src/index.js';

/** Far more than a pipe and the log's buffer hold together. */
const eventCount = 50_000;

const metrics = new RecordingMetricSink();
const timers = new SystemTimers();
const log = new JsonEventLog({
	daemonId: 'writer', timers, metrics, maxLinesPerSecond: Number.POSITIVE_INFINITY,
});
for (let index = 0; index < eventCount; index++) {
	log.write('peer-connected', {peer: `daemon-${index}`});
}

// A turn of the event loop shows that nothing waits for the reader.
timers.addTimer(10, () => {
	process.send!({leftOutCount: metrics.getCount('log-lines-left-out')});
});
process.once('message', () => {
	process.exit(0);
});
