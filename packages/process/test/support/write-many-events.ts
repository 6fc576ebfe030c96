import process from 'node:process';
import {RecordingMetricSink} from '@camphortack/testkit';
import {JsonEventLog, SystemTimers} from '../../src/index.js';

/** Far more events than fit into the pipe and the buffer of the log. */
const eventCount = 50_000;

const metrics = new RecordingMetricSink();
const timers = new SystemTimers();
const log = new JsonEventLog({
	daemonId: 'writer', timers, metrics, maxLinesPerSecond: Number.POSITIVE_INFINITY,
});
for (let index = 0; index < eventCount; index++) {
	log.write('peer-connected', {peer: `daemon-${index}`});
}

// The timer fires only if the event loop is not blocked by the reader.
timers.addTimer(10, () => {
	process.send!({leftOutCount: metrics.getCount('log-lines-left-out')});
});
process.once('message', () => {
	process.exit(0);
});
