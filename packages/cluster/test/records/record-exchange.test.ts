import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {BackendServerDescription, PlacementMessage, PlacementMessageOf} from '@camphortack/placement';
import {VirtualTimers} from '@camphortack/testkit';
import type {EarlierRecords} from '../../src/records/earlier-records.js';
import {createRecordExchange, type RecordExchange} from '../../src/records/record-exchange.js';
import {createServerRecords, type ServerRecords} from '../../src/records/server-records.js';
import {createServerRegistry, type ServerRegistry} from '../../src/registry/server-registry.js';
import {createServerDescription} from '../support/create-server-description.js';

const server = createServerDescription('server');
const view = {term: 3, placerId: 'placer'};

type TestExchange = {
	exchange: RecordExchange;
	records: ServerRecords;
	registry: ServerRegistry;
	sent: Array<{toId: string; message: PlacementMessage}>;
	/** The daemons that have sent a record which was requested. */
	answeredIds: string[];
};

/** Creates the exchange of an entry daemon that follows the placer of the shard `north` in term 3. */
function createTestExchange(): TestExchange {
	const timers = new VirtualTimers();
	const records = createServerRecords(timers);
	const registry = createServerRegistry(timers);
	const sent: TestExchange['sent'] = [];
	const answeredIds: string[] = [];
	const earlierRecords: EarlierRecords = {
		findServers: () => undefined,
		requestMissing() {
			throw new Error('nothing is requested');
		},
		hasLeft: () => false,
		getLeftServers: () => [],
		addRecord(fromId) {
			answeredIds.push(fromId);
		},
	};
	const exchange = createRecordExchange({
		ownIncarnation: 'own',
		records,
		earlierRecords,
		registry,
		getPlacerView: shard => shard === 'north' ? view : {term: 0, placerId: ''},
		send(toId, message) {
			sent.push({toId, message});
		},
	});
	return {
		exchange, records, registry, sent, answeredIds,
	};
}

function getList(rest: Partial<PlacementMessageOf<'placement.record-servers'>> = {}): PlacementMessage {
	return {
		kind: 'placement.record-servers', shard: 'north', term: 3, incarnation: 'one', listNumber: 4, serverIds: ['server'], descriptions: [server], ...rest,
	};
}

describe('a list of a placer', () => {
	const rows: Array<{title: string; fromId?: string; list: PlacementMessage; expected: number | undefined; isRecorded: boolean}> = [
		{
			title: 'the placer that this daemon follows', list: getList(), expected: 4, isRecorded: true,
		},
		// Guards against a start by a placer whose record was handed over before, without the backend server.
		{
			title: 'a placer of an earlier term', list: getList({term: 2}), expected: undefined, isRecorded: false,
		},
		{
			title: 'another daemon in the same term', fromId: 'other', list: getList(), expected: undefined, isRecorded: false,
		},
		{
			title: 'a placer that this daemon does not follow yet', list: getList({term: 4}), expected: undefined, isRecorded: false,
		},
		{
			title: 'a placer of another shard', list: getList({shard: 'south'}), expected: undefined, isRecorded: false,
		},
		// Guards against an acknowledgement of a backend server that could not be handed over.
		{
			title: 'a list that lacks a description', list: getList({descriptions: []}), expected: 0, isRecorded: true,
		},
	];
	for (const {title, fromId = 'placer', list, expected, isRecorded} of rows) {
		it(`${title} → ${expected === undefined ? 'no acknowledgement' : `the acknowledgement of ${expected}`}`, () => {
			const {exchange, records, sent} = createTestExchange();
			assert.equal(exchange.handleMessage(fromId, list), true);
			assert.deepEqual(sent, expected === undefined
				? []
				: [{
					toId: 'placer', message: {
						kind: 'placement.servers-recorded', term: 3, placerIncarnation: 'one', incarnation: 'own', listNumber: expected,
					},
				}]);
			assert.equal(records.findDigest('north', [{view, usesRecords: false}]) !== undefined, isRecorded);
		});
	}
});

describe('a request for a record', () => {
	const rows: Array<{title: string; registered: BackendServerDescription[]; expected: BackendServerDescription}> = [
		// Guards against a successor that claims a backend server at an address which it no longer has.
		{title: 'a description that has changed since', registered: [{...server, sequence: 2, host: 'moved'}], expected: {...server, sequence: 2, host: 'moved'}},
		// Guards against new tasks on a backend server that may have left; its runs are still looked for.
		{title: 'an expired row', registered: [], expected: {...server, state: 'draining'}},
		// Guards against a record whose digest no longer matches, so that the successor drops it.
		{title: 'a later incarnation', registered: [{...server, bornMs: 2}], expected: {...server, state: 'draining'}},
	];
	for (const {title, registered, expected} of rows) {
		it(`${title} → ${expected.host}, ${expected.state}`, () => {
			const {exchange, records, registry, sent} = createTestExchange();
			exchange.handleMessage('placer', getList());
			const digest = records.findDigest('north', [{view, usesRecords: true}])!;
			for (const description of registered) {
				registry.addDescription(description);
			}

			sent.length = 0;
			assert.equal(exchange.handleMessage('next', {kind: 'placement.record-request', digest}), true);
			assert.deepEqual(sent, [{toId: 'next', message: {kind: 'placement.record', digest, descriptions: [expected]}}]);
		});
	}

	// Guards against an empty record in place of one that is not known, from which the successor would conclude that nothing runs.
	it('a digest that is not known → no answer', () => {
		const {exchange, sent} = createTestExchange();
		assert.equal(exchange.handleMessage('next', {kind: 'placement.record-request', digest: 'other'}), true);
		assert.deepEqual(sent, []);
	});
});

describe('other messages', () => {
	it('a record → passed on with its sender', () => {
		const {exchange, answeredIds} = createTestExchange();
		assert.equal(exchange.handleMessage('entry', {kind: 'placement.record', digest: '', descriptions: []}), true);
		assert.deepEqual(answeredIds, ['entry']);
	});

	const others: PlacementMessage[] = [
		{kind: 'placement.cancelled', jobId: 'job'},
		{kind: 'placement.open-jobs', jobIds: []},
		{
			kind: 'placement.servers-recorded', term: 3, placerIncarnation: 'placer', incarnation: 'one', listNumber: 1,
		},
	];
	for (const message of others) {
		it(`${message.kind} → left to others`, () => {
			assert.equal(createTestExchange().exchange.handleMessage('placer', message), false);
		});
	}
});
