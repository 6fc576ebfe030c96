import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {createSpeedReport} from '../../src/speed/speed-report.js';
import {runFor} from '../support/run-for.js';

describe('createSpeedReport', () => {
	const speeds = new Map([['slow', 0.7], ['nominal', 1], ['fast', 1.7]]);
	const rows = [
		{ids: [], expected: [0, 0]},
		{ids: ['nominal'], expected: [1, 1]},
		{ids: ['nominal', 'fast', 'slow'], expected: [0.7, 1.7]},
	];
	for (const {ids, expected} of rows) {
		// Guards against learned speeds that no operator can see.
		it(`[${ids.join(', ')}] → lowest and highest ${expected.join(' and ')}`, async () => {
			const timers = new VirtualTimers();
			const metrics = new RecordingMetricSink();
			const report = createSpeedReport({
				timers,
				metrics,
				speeds: {getSpeed: ({id}) => speeds.get(id)!},
				getServers: () => ids.map(id => ({id, labels: [], cpuMillicores: 64_000})),
			});
			await runFor(timers, 5100);
			report.stop();
			assert.deepEqual([metrics.getCount('server-speed-lowest'), metrics.getCount('server-speed-highest')], expected);
		});
	}
});
