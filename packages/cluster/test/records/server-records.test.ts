import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {BackendServerDescription, PlacementMessageOf} from '@camphortack/placement';
import {VirtualTimers} from '@camphortack/testkit';
import {handedOverRecordRetentionMs} from '../../src/cluster-timings.js';
import {createServerRecords, type ServerRecords} from '../../src/records/server-records.js';
import {createServerDescription} from '../support/create-server-description.js';

type List = Omit<PlacementMessageOf<'placement.record-servers'>, 'kind' | 'descriptions'>;

const a = createServerDescription('a');
const b = createServerDescription('b');
const c = createServerDescription('c');
const view = {term: 1, placerId: 'placer'};
const nextView = {term: 2, placerId: 'next'};

function add(records: ServerRecords, descriptions: BackendServerDescription[], rest: Partial<List> & {placerId?: string} = {}): boolean {
	const {placerId = 'placer', ...list} = rest;
	return records.addServers(placerId, {
		kind: 'placement.record-servers', shard: 'north', term: 1, incarnation: 'one', listNumber: 1, serverIds: descriptions.map(({id}) => id), descriptions, ...list,
	});
}

/** Gets the recorded incarnations of placers; undefined if the record is not complete. */
function getRecorded(records: ServerRecords, views = [view], {shard = 'north', usesRecords = false} = {}): string[] | undefined {
	const digest = records.findDigest(shard, views.map(placerView => ({view: placerView, usesRecords})));
	return digest === undefined ? undefined : records.findServers(digest)!.map(({id, bornMs}) => `${id} ${bornMs}`).toSorted();
}

describe('addServers', () => {
	const rows: Array<{title: string; add: (records: ServerRecords) => boolean; isComplete: boolean; expected: string[]}> = [
		{
			title: 'a list with all descriptions', add: records => add(records, [a, b]), isComplete: true, expected: ['a 1', 'b 1'],
		},
		{
			title: 'a later list with what is new', add(records) {
				add(records, [a]);
				return add(records, [b], {listNumber: 2, serverIds: ['a', 'b']});
			}, isComplete: true, expected: ['a 1', 'b 1'],
		},
		// Guards against an acknowledgement of a backend server whose description was lost, and which could not be handed over.
		{
			title: 'a later list, after one in between was lost', add(records) {
				add(records, [a]);
				return add(records, [c], {listNumber: 3, serverIds: ['a', 'b', 'c']});
			}, isComplete: false, expected: ['a 1'],
		},
		// Guards against a list that arrives late and takes a backend server in use out of the record.
		{
			title: 'a list that a later one has overtaken', add(records) {
				add(records, [a, b], {listNumber: 2});
				return add(records, [a]);
			}, isComplete: true, expected: ['a 1', 'b 1'],
		},
		{
			title: 'a list without a backend server of the one before', add(records) {
				add(records, [a, b]);
				return add(records, [], {listNumber: 2, serverIds: ['b']});
			}, isComplete: true, expected: ['b 1'],
		},
		// Guards against a record that names the incarnation before, on which no task runs any more.
		{
			title: 'a new incarnation under a recorded id', add(records) {
				add(records, [a]);
				return add(records, [{...a, bornMs: 2}], {listNumber: 2});
			}, isComplete: true, expected: ['a 2'],
		},
		// Guards against a restarted placer whose first list, with a low number, is taken for an overtaken one.
		{
			title: 'the first list of a restarted placer', add(records) {
				add(records, [a], {listNumber: 7});
				return add(records, [b], {incarnation: 'two'});
			}, isComplete: true, expected: ['a 1', 'b 1'],
		},
	];
	for (const {title, isComplete, expected, ...row} of rows) {
		it(`${title} → ${isComplete ? 'complete' : 'not complete'}, ${expected.join(', ')}`, () => {
			const records = createServerRecords(new VirtualTimers());
			assert.equal(row.add(records), isComplete);
			assert.deepEqual(getRecorded(records), expected);
		});
	}
});

describe('findDigest', () => {
	const rows: Array<{title: string; views: Array<typeof view>; shard?: string; usesRecords?: boolean; expected: string[] | undefined}> = [
		{title: 'one placer', views: [view], expected: ['a 1', 'b 2']},
		// Guards against a run of the placer before the last one, which its successor neither found nor ruled out.
		{title: 'two placers', views: [view, nextView], expected: ['a 1', 'b 2', 'b 3', 'c 1']},
		{title: 'a placer of another term', views: [{...view, term: 9}], expected: undefined},
		{
			title: 'a placer of another shard', views: [view], shard: 'south', expected: undefined,
		},
		// Guards against a placer of an earlier version, which starts tasks on backend servers that nobody has recorded.
		{title: 'a placer without records besides', views: [view, {term: 3, placerId: 'earlier'}], expected: undefined},
		{
			title: 'a placer that waits for records and has sent none', views: [{term: 3, placerId: 'new'}], usesRecords: true, expected: [],
		},
		{title: 'no placers', views: [], expected: []},
	];
	for (const {title, views, shard, usesRecords, expected} of rows) {
		it(`${title} → ${expected?.join(', ') ?? 'not known'}`, () => {
			const records = createServerRecords(new VirtualTimers());
			add(records, [a, {...b, bornMs: 2}]);
			add(records, [{...b, bornMs: 3}, c], {placerId: 'next', term: 2});
			assert.deepEqual(getRecorded(records, views, {shard, usesRecords}), expected);
		});
	}

	// Guards against a record that changes between its handover and the request for it.
	it('keeps what was handed over when the placer sends a shorter list', () => {
		const records = createServerRecords(new VirtualTimers());
		add(records, [a, b]);
		const digest = records.findDigest('north', [{view, usesRecords: true}])!;
		add(records, [], {listNumber: 2, serverIds: []});
		assert.deepEqual(records.findServers(digest)?.map(({id}) => id), ['a', 'b']);
	});
});

describe('removeUnused', () => {
	it('removes the records of placers without open jobs only', () => {
		const records = createServerRecords(new VirtualTimers());
		add(records, [a]);
		add(records, [b], {placerId: 'next', term: 2});
		records.removeUnused((shard, {term}) => shard === 'north' && term === 2);
		assert.deepEqual([getRecorded(records), getRecorded(records, [nextView])], [undefined, ['b 1']]);
	});

	const rows = [
		{ageMs: handedOverRecordRetentionMs, expected: ['a']},
		{ageMs: handedOverRecordRetentionMs + 1, expected: undefined},
	];
	for (const {ageMs, expected} of rows) {
		// Guards against a request that finds nothing because the jobs of the earlier placer have ended meanwhile, and against records that pile up.
		it(`a record that was handed over ${ageMs} ms ago → ${expected === undefined ? 'removed' : 'kept'}`, () => {
			const timers = new VirtualTimers();
			const records = createServerRecords(timers);
			add(records, [a]);
			const digest = records.findDigest('north', [{view, usesRecords: true}])!;
			timers.advance(ageMs);
			records.removeUnused(() => false);
			assert.deepEqual(records.findServers(digest)?.map(({id}) => id), expected);
		});
	}
});
