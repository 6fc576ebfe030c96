import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {createSpeedReport} from '../../src/speed/speed-report.js';
import {runFor} from '../support/run-for.js';

const reportIntervalMs = 5000;

function createReport(speeds: Map<string, number>) {
	const timers = new VirtualTimers();
	const events = new RecordingEventLog();
	const metrics = new RecordingMetricSink();
	const report = createSpeedReport({
		timers,
		events,
		metrics,
		speeds: {getSpeed: ({id}) => speeds.get(id)!},
		getServers: () => [...speeds.keys()].map(id => ({id, labels: [], cpuMillicores: 64_000})),
	});
	return {
		timers, events, metrics, report,
	};
}

describe('createSpeedReport', () => {
	// Guards against learned speeds that no operator can see.
	const rows = [
		{speeds: [], expected: [0, 0]},
		{speeds: [1], expected: [1, 1]},
		{speeds: [1, 1.7, 0.7], expected: [0.7, 1.7]},
	];
	for (const {speeds, expected} of rows) {
		it(`[${speeds.join(', ')}] → lowest and highest ${expected.join(' and ')}`, async () => {
			const {timers, metrics, report} = createReport(new Map(speeds.map((speed, position) => [`server-${position}`, speed])));
			await runFor(timers, reportIntervalMs + 1, 100);
			report.stop();
			assert.deepEqual([metrics.getCount('server-speed-lowest'), metrics.getCount('server-speed-highest')], expected);
		});
	}

	// Guards against a line in every report for a speed that the operator has already seen.
	it('writes an event for a speed that differs from the last reported one by a quarter, and for no other', async () => {
		const speeds = new Map([['nominal', 1], ['slow', 0.7], ['fast', 1.7]]);
		const {timers, events, report} = createReport(speeds);
		await runFor(timers, (2 * reportIntervalMs) + 1, 100);
		speeds.set('slow', 0.8);
		await runFor(timers, reportIntervalMs, 100);
		speeds.set('slow', 1);
		speeds.delete('fast');
		await runFor(timers, reportIntervalMs, 100);
		speeds.set('fast', 1.7);
		await runFor(timers, reportIntervalMs, 100);
		report.stop();
		assert.deepEqual(events.events.map(({name, fields}) => [name, fields]), [
			['backend-server-speed-changed', {server: 'slow', speed: 0.7, before: 1}],
			['backend-server-speed-changed', {server: 'fast', speed: 1.7, before: 1}],
			['backend-server-speed-changed', {server: 'slow', speed: 1, before: 0.7}],
			['backend-server-speed-changed', {server: 'fast', speed: 1.7, before: 1}],
		]);
	});
});
