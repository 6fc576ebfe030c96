import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {PeerMessage} from '@camphortack/core';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {createMessageParser} from '../../src/messages/message-parser.js';

const description = {
	id: 'i-1', bornMs: 1, sequence: 1, service: 'quotes', host: '10.0.0.1', port: 80, availabilityZone: 'a', state: 'ready', slotCount: 8, cpuMillicores: 1000, memoryMb: 64, gpuCount: 0, labels: [],
};
const record = {
	taskName: 'job.0.0.0', queueName: 'quotes', serverId: 'i-1', bornMs: 1, isSuspect: false, ageMs: 5,
};

function setUp() {
	const timers = new VirtualTimers();
	const events = new RecordingEventLog();
	const metrics = new RecordingMetricSink();
	const parser = createMessageParser({
		timers, events, metrics, getTerm: () => 0,
	});
	return {
		timers,
		events,
		metrics,
		parse: (message: PeerMessage) => (message.kind.startsWith('placement.') ? parser.parsePlacementMessage : parser.parseClusterMessage)('one', message),
	};
}

describe('createMessageParser', () => {
	// Guards against an odd entry that an earlier version passes on: the whole list was dropped for it.
	const oddDescriptions = [
		{host: '[::1'},
		{host: 'a b'},
		{host: ''},
		{port: 99_999},
		{port: 80.5},
		{cpuMillicores: 1e308},
		{memoryMb: Number.POSITIVE_INFINITY},
		{gpuCount: -1},
		{slotCount: Number.MAX_SAFE_INTEGER},
		{sequence: Number.MAX_SAFE_INTEGER},
		{bornMs: 1.78e15},
		{coldMs: Number.POSITIVE_INFINITY},
		{coldMs: 1e308},
		{noticeMs: 1e308},
		{labels: 'a'},
		{labels: Array.from({length: 2000}, () => 'a')},
		{id: 'x'.repeat(5000)},
		{state: 'asleep'},
		{id: ''},
	];
	for (const odd of oddDescriptions) {
		it(`drops only the description with ${JSON.stringify(odd).slice(0, 40)} from a registry`, () => {
			const {parse, metrics} = setUp();
			const parsed = parse({kind: 'cluster.registry', descriptions: [description, {...description, ...odd}, {...description, id: 'i-2'}], digest: 'x'});
			assert.deepEqual(parsed, {message: {kind: 'cluster.registry', descriptions: [description, {...description, id: 'i-2'}], digest: 'x'}, hasLostRows: true});
			assert.equal(metrics.getCount('peer-row-dropped'), 1);
			assert.equal(metrics.getCount('peer-malformed'), 0);
		});
	}

	const rows: Array<{title: string; message: PeerMessage; expected: PeerMessage | undefined; lostRows: number}> = [
		{
			title: 'crashes with a record of another type', message: {kind: 'cluster.crashes', records: [7, record]}, expected: {kind: 'cluster.crashes', records: [record]}, lostRows: 1,
		},
		{
			title: 'jobs that were not begun, one without a name', message: {kind: 'placement.not-begun', term: 1, jobIds: ['a', 7]},
			expected: {kind: 'placement.not-begun', term: 1, jobIds: ['a']}, lostRows: 1,
		},
		// Guards against a missing row that would mean that a daemon no longer waits for a job.
		{
			title: 'open jobs, one without a name', message: {kind: 'placement.open-jobs', jobIds: ['a', 7]}, expected: undefined, lostRows: 0,
		},
		{
			title: 'jobs that were left, one without a name', message: {kind: 'placement.open-jobs', jobIds: [], leftJobIds: [7]}, expected: undefined, lostRows: 0,
		},
		// Guards against a missing row that would mean that an availability zone is not evacuated.
		{
			title: 'evacuations, one without a name', message: {kind: 'cluster.evacuations', revision: 2, availabilityZones: ['a', 7]}, expected: undefined, lostRows: 0,
		},
		{
			title: 'a single odd description', message: {kind: 'cluster.server-report', description: {...description, host: '[::1'}}, expected: undefined, lostRows: 0,
		},
		{
			title: 'a list that is none', message: {kind: 'cluster.registry', descriptions: 7}, expected: undefined, lostRows: 0,
		},
		{
			title: 'an unknown kind', message: {kind: 'cluster.other'}, expected: undefined, lostRows: 0,
		},
	];
	for (const {title, message, expected, lostRows} of rows) {
		it(`${title} → ${expected === undefined ? 'dropped' : `${lostRows} rows lost`}`, () => {
			const {parse, metrics, events} = setUp();
			assert.deepEqual(parse(message)?.message, expected);
			assert.equal(metrics.getCount('peer-row-dropped'), lostRows);
			assert.equal(metrics.getCount('peer-malformed'), expected === undefined ? 1 : 0);
			assert.equal(events.events.length, 1);
		});
	}

	// Guards against a log that is full of one odd row, which each daemon repeats.
	it('counts every row, and logs a kind of message of a daemon once in 10 s', () => {
		const {parse, metrics, events, timers} = setUp();
		const message = {kind: 'cluster.registry', descriptions: Array.from({length: 50}, () => ({...description, port: 0}))};
		for (let number = 0; number < 20; number++) {
			parse(message);
		}

		assert.equal(metrics.getCount('peer-row-dropped'), 1000);
		assert.equal(events.events.length, 5);
		timers.advance(10_001);
		parse(message);
		assert.equal(events.events.length, 10);
	});
});
