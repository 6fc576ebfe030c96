import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {PlacementMessageOf} from '@camphortack/placement';
import {RecordingEventLog, VirtualTimers} from '@camphortack/testkit';
import {recordReceiverTimeoutMs, recordRepetitionMs} from '../../src/cluster-timings.js';
import {createServerRecordSender, type ServerRecordSender} from '../../src/records/server-record-sender.js';
import {createServerDescription} from '../support/create-server-description.js';

const a = createServerDescription('a');
const b = createServerDescription('b');
const entry = {entryId: 'entry', incarnation: 'one'};
const earlierEntry = {entryId: 'earlier', incarnation: undefined};

type TestSender = {
	timers: VirtualTimers;
	events: RecordingEventLog;
	sender: ServerRecordSender;
	/** The lists that were sent: receiver, number, ids, and ids of the descriptions. */
	sent: Array<[string, number, string, string]>;
	/** Counts the calls after acknowledgements. */
	getRecordedCount: () => number;
	acknowledge: (number: number, rest?: Partial<PlacementMessageOf<'placement.servers-recorded'>>) => void;
};

function createTestSender(): TestSender {
	const timers = new VirtualTimers();
	const events = new RecordingEventLog();
	const sent: TestSender['sent'] = [];
	let recordedCount = 0;
	const sender = createServerRecordSender({
		timers,
		events,
		placer: {shard: 'north', term: 5, incarnation: 'placer'},
		send(toId, message) {
			assert.equal(message.kind, 'placement.record-servers');
			const {listNumber, serverIds, descriptions} = message;
			sent.push([toId, listNumber, serverIds.join(' '), descriptions.map(({id}) => id).join(' ')]);
		},
		onRecorded() {
			recordedCount++;
		},
	});
	return {
		timers, events, sender, sent, getRecordedCount: () => recordedCount,
		acknowledge(number, rest = {}) {
			sender.handleRecorded('entry', {
				kind: 'placement.servers-recorded', term: 5, placerIncarnation: 'placer', incarnation: 'one', listNumber: number, ...rest,
			});
		},
	};
}

function doNothing(): void {
	// The row is about the state at the begin.
}

describe('getUnrecordedIds', () => {
	const rows: Array<{title: string; act: (test: TestSender) => void; entries?: Array<{entryId: string; incarnation: string | undefined}>; expected: string[]}> = [
		// Guards against a start on a backend server of which the entry daemon could tell the next placer nothing.
		{
			title: 'an entry daemon that was not heard', act: doNothing, expected: ['a', 'b'],
		},
		{
			title: 'one that has not acknowledged the list', act({sender}) {
				sender.handleEntry(entry);
			}, expected: ['a', 'b'],
		},
		{
			title: 'one that has', act({sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1);
			}, expected: [],
		},
		{
			title: 'a backend server that joined since', act({sender, acknowledge}) {
				sender.setServers([a]);
				sender.handleEntry(entry);
				acknowledge(2);
				sender.setServers([a, b]);
			}, expected: ['b'],
		},
		// Guards against a start on a new incarnation while the record names the one before.
		{
			title: 'a new incarnation under a recorded id', act({sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1);
				sender.setServers([{...a, bornMs: 2}, b]);
			}, expected: ['a'],
		},
		{
			title: 'a change of state only', act({sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1);
				sender.setServers([{...a, state: 'draining', sequence: 2}, b]);
			}, expected: [],
		},
		// Guards against a restarted entry daemon whose record is gone, but whose earlier acknowledgement still counts.
		{
			title: 'an entry daemon that has restarted', act({sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1);
				sender.handleEntry({...entry, incarnation: 'two'});
			}, entries: [{...entry, incarnation: 'two'}], expected: ['a', 'b'],
		},
		{
			title: 'an acknowledgement of the process before', act({sender, acknowledge}) {
				sender.handleEntry({...entry, incarnation: 'two'});
				acknowledge(1);
			}, entries: [{...entry, incarnation: 'two'}], expected: ['a', 'b'],
		},
		// Guards against an acknowledgement of a list of an earlier term, which had the same number.
		{
			title: 'an acknowledgement of another term', act({sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1, {term: 4});
			}, expected: ['a', 'b'],
		},
		{
			title: 'acknowledgements in the wrong order', act({sender, acknowledge}) {
				sender.handleEntry(entry);
				sender.setServers([a]);
				acknowledge(2);
				acknowledge(1);
			}, expected: [],
		},
		{
			title: 'one that has nothing any more', act({sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1);
				acknowledge(0);
			}, expected: ['a', 'b'],
		},
		// Guards against a start that only one of two waiting entry daemons could hand over.
		{
			title: 'two entry daemons, of which one has acknowledged', act({sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1);
			}, entries: [entry, {entryId: 'second', incarnation: 'one'}], expected: ['a', 'b'],
		},
		// Guards against jobs of entry daemons of earlier versions that would never start.
		{
			title: 'an entry daemon without records', act: doNothing, entries: [earlierEntry], expected: [],
		},
		{
			title: 'one without and one with records', act: doNothing, entries: [earlierEntry, entry], expected: ['a', 'b'],
		},
		{
			title: 'no entry daemons', act: doNothing, entries: [], expected: [],
		},
	];
	for (const {title, act, entries = [entry], expected} of rows) {
		it(`${title} → ${expected.length === 0 ? 'none' : expected.join(', ')}`, () => {
			const test = createTestSender();
			test.sender.setServers([a, b]);
			act(test);
			assert.deepEqual([...test.sender.getUnrecordedIds(entries)], expected);
		});
	}
});

describe('the lists', () => {
	const rows: Array<{title: string; act: (test: TestSender) => void; expected: TestSender['sent']}> = [
		{
			title: 'a new entry daemon', act({sender}) {
				sender.handleEntry(entry);
			}, expected: [['entry', 1, 'a', 'a']],
		},
		// Guards against a job that waits for the next message of its entry daemon whenever a backend server joins.
		{
			title: 'a backend server joins', act({sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1);
				sender.setServers([a, b]);
			}, expected: [['entry', 1, 'a', 'a'], ['entry', 2, 'a b', 'b']],
		},
		// Guards against a list at each pass of the placer.
		{
			title: 'the same backend servers again', act({sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1);
				sender.setServers([{...a, sequence: 2}]);
				sender.handleEntry(entry);
			}, expected: [['entry', 1, 'a', 'a']],
		},
		{
			title: 'a backend server leaves', act({sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1);
				sender.setServers([]);
			}, expected: [['entry', 1, 'a', 'a'], ['entry', 2, '', '']],
		},
		// Guards against a list with each of many submissions, before the first acknowledgement can arrive.
		{
			title: 'another message before the repetition is due', act({timers, sender}) {
				sender.handleEntry(entry);
				timers.advance(recordRepetitionMs - 1);
				sender.handleEntry(entry);
			}, expected: [['entry', 1, 'a', 'a']],
		},
		// Guards against jobs that never start because a list or its acknowledgement was lost.
		{
			title: 'another message when the repetition is due', act({timers, sender}) {
				sender.handleEntry(entry);
				timers.advance(recordRepetitionMs);
				sender.handleEntry(entry);
			}, expected: [['entry', 1, 'a', 'a'], ['entry', 1, 'a', 'a']],
		},
		// Guards against an entry daemon that has lost a list in between and gets only what is new.
		{
			title: 'an entry daemon that lacks a description', act({timers, sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1);
				sender.setServers([a, b]);
				acknowledge(0);
				timers.advance(recordRepetitionMs);
				sender.handleEntry(entry);
			}, expected: [['entry', 1, 'a', 'a'], ['entry', 2, 'a b', 'b'], ['entry', 2, 'a b', 'a b']],
		},
		// Guards against lists to daemons that are gone, at each change of the backend servers.
		{
			title: 'a backend server joins, and the entry daemon was not heard for long', act({timers, sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1);
				timers.advance(recordReceiverTimeoutMs + 1);
				sender.setServers([a, b]);
			}, expected: [['entry', 1, 'a', 'a']],
		},
		{
			title: 'it is heard again', act({timers, sender, acknowledge}) {
				sender.handleEntry(entry);
				acknowledge(1);
				timers.advance(recordReceiverTimeoutMs + 1);
				sender.setServers([a, b]);
				sender.handleEntry(entry);
			}, expected: [['entry', 1, 'a', 'a'], ['entry', 2, 'a b', 'b']],
		},
		{
			title: 'an entry daemon without records', act({sender}) {
				sender.handleEntry(earlierEntry);
			}, expected: [],
		},
	];
	for (const {title, act, expected} of rows) {
		it(`${title} → ${expected.length} sent`, () => {
			const test = createTestSender();
			test.sender.setServers([a]);
			act(test);
			assert.deepEqual(test.sent, expected);
		});
	}

	// Guards against tasks that stay where they are after the acknowledgement for which they wait.
	it('calls back at each acknowledgement of this term and process only', () => {
		const {sender, acknowledge, getRecordedCount} = createTestSender();
		sender.setServers([a]);
		sender.handleEntry(entry);
		acknowledge(1, {term: 4});
		acknowledge(1, {incarnation: 'two'});
		assert.equal(getRecordedCount(), 0);
		acknowledge(1);
		assert.equal(getRecordedCount(), 1);
	});

	// Guards against an event at each message of an entry daemon of an earlier version.
	it('logs an entry daemon without records once in a term', () => {
		const {sender, events} = createTestSender();
		sender.handleEntry(earlierEntry);
		sender.handleEntry(earlierEntry);
		assert.deepEqual(events.events.map(({name, fields}) => [name, fields]), [['entry-without-record', {entry: 'earlier', term: 5}]]);
	});
});
