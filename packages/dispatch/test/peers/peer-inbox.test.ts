import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {createPeerInbox} from '../../src/peers/peer-inbox.js';
import {createTestAnnouncement} from '../support/create-test-dispatcher.js';

/** Passes a message to an inbox and returns what it passed on, the lists of the dropped rows and the number of refused messages. */
function receive(message: Record<string, unknown> & {kind: string}) {
	const events = new RecordingEventLog();
	const metrics = new RecordingMetricSink();
	const received: unknown[] = [];
	createPeerInbox({
		timers: new VirtualTimers(),
		metrics,
		events,
		onMessage(_fromPeerId, passedOn) {
			received.push(passedOn);
		},
	}).handlePeerMessage('daemon-2', message);
	return {
		received,
		dropped: events.events.map(({name, fields}) => `${name} ${fields.from} ${fields.kind} ${fields.list} ${fields.index}`),
		malformed: metrics.getCount('dispatch-malformed'),
	};
}

const load = {
	pool: 'main', slots: 8, freeSlots: 8, queuedTasks: 0,
};
const heartbeat = {kind: 'dispatch.heartbeat', needsReply: false};
const outcome = {
	kind: 'dispatch.outcome', receiverIncarnation: 'one', sequence: 1, outcome: {outcome: 'complete', id: 'job-1', results: [1]}, runTimesMs: [1],
};
const job = {
	kind: 'dispatch.job',
	receiverIncarnation: 'one',
	senderIncarnation: 'one',
	sequence: 1,
	settledBelow: 0,
	handovers: 1,
	id: 'job-1',
	customer: 'chain',
	service: 'price',
	deadlineMs: 1000,
	idempotent: false,
	indexes: [0, 1],
	tasks: [{payload: 0}, {payload: 1}],
	loads: [load],
};
const released = {backendServerId: 'server-1', incarnation: 'one', busySlots: 1};

describe('createPeerInbox', () => {
	const server = createTestAnnouncement('server-1');
	const rows: Array<{title: string; message: Record<string, unknown> & {kind: string}; list: string; expected: unknown[]}> = [
		{
			title: 'a port out of range', message: {kind: 'dispatch.servers', announcements: [{...server, port: 99_999}, server]}, list: 'announcements', expected: [server],
		},
		{
			title: 'a number too large', message: {kind: 'dispatch.servers', announcements: [{...server, slots: Number.MAX_SAFE_INTEGER}, server]}, list: 'announcements', expected: [server],
		},
		{
			title: 'no object', message: {kind: 'dispatch.servers', announcements: [[[[]]], server]}, list: 'announcements', expected: [server],
		},
		{
			title: 'an odd load', message: {...heartbeat, loads: [{...load, slots: 1e308}, load]}, list: 'loads', expected: [load],
		},
		{
			title: 'an odd load beside an outcome', message: {...outcome, loads: [{...load, pool: ''}, load]}, list: 'loads', expected: [load],
		},
		{
			title: 'an odd number of busy slots', message: {kind: 'dispatch.release', servers: [{...released, busySlots: -1}, released]}, list: 'servers', expected: [released],
		},
		{
			title: 'an odd part to cancel', message: {kind: 'dispatch.cancel', senderIncarnation: 'one', sequences: [1e308, 3]}, list: 'sequences', expected: [3],
		},
		{
			title: 'an odd part to query',
			message: {
				kind: 'dispatch.query', receiverIncarnation: 'one', senderIncarnation: 'one', settledBelow: 0, sequences: [Number.NaN, 3],
			},
			list: 'sequences',
			expected: [3],
		},
	];
	for (const {title, message, list, expected} of rows) {
		// Guards against a list of which one odd row takes all others with it.
		it(`passes on the other rows of a list in which one has ${title}`, () => {
			const {received, dropped, malformed} = receive(message);
			assert.deepEqual(received, [{...message, [list]: expected}]);
			assert.deepEqual(dropped, [`peer-row-dropped daemon-2 ${message.kind} ${list} 0`]);
			assert.equal(malformed, 0);
		});
	}

	const refused: Array<{title: string; message: Record<string, unknown> & {kind: string}}> = [
		{title: 'with an odd task', message: {...job, tasks: [{payload: 0}, {payload: 1, declaredRunTimeMs: -1}]}},
		{title: 'with an odd task index', message: {...job, indexes: [0, 1e308]}},
		{title: 'with an odd deadline', message: {...job, deadlineMs: Number.POSITIVE_INFINITY}},
		{title: 'with an odd run time', message: {...outcome, runTimesMs: [-1], loads: []}},
		{title: 'with odd rows only', message: {kind: 'dispatch.servers', announcements: [{...server, port: 99_999}]}},
	];
	for (const {title, message} of refused) {
		// Guards against tasks or results of which some are taken for all.
		it(`refuses a message ${title}`, () => {
			assert.deepEqual(receive(message), {received: [], dropped: [], malformed: 1});
		});
	}
});
