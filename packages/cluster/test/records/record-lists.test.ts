import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {BackendServerDescription, PlacementMessage} from '@camphortack/placement';
import {RecordingEventLog, VirtualTimers} from '@camphortack/testkit';
import {createServerRecordSender} from '../../src/records/server-record-sender.js';
import {createServerRecords} from '../../src/records/server-records.js';

function describeServer(position: number): BackendServerDescription {
	return {
		id: `i-${position.toString(16).padStart(10, '0')}`, bornMs: 1_700_000_000_000 + position, sequence: 1, service: 'quotes', host: '10.0.0.1', port: 80, availabilityZone: 'a',
		state: 'ready', slotCount: 8, cpuMillicores: 64_000, memoryMb: 1_000_000, gpuCount: 0, labels: ['a', 'rack-1'],
	};
}

describe('createServerRecordSender', () => {
	// Guards against a start on a backend server that only an earlier process of the placer had sent.
	it('ignores the acknowledgement of a list of an earlier process of the placer', () => {
		const timers = new VirtualTimers();
		const sent: PlacementMessage[] = [];
		const sender = createServerRecordSender({
			timers, events: new RecordingEventLog(), placer: {shard: '', term: 5, incarnation: 'second'},
			send(_toId, message) {
				sent.push(message);
			},
			onRecorded() {
				// Nothing waits.
			},
		});
		const entry = {entryId: 'entry', incarnation: 'one'};
		sender.setServers([describeServer(1)]);
		sender.handleEntry(entry);
		sender.handleRecorded('entry', {
			kind: 'placement.servers-recorded', term: 5, placerIncarnation: 'first', incarnation: 'one', listNumber: 7,
		});
		assert.equal(sender.getUnrecordedIds([entry]).size, 1);
	});

	// Guards against lists that grow with each backend server while acknowledgements are under way, as after a return of power.
	it('sends each description once while acknowledgements are under way', () => {
		const timers = new VirtualTimers();
		let rows = 0;
		const sender = createServerRecordSender({
			timers, events: new RecordingEventLog(), placer: {shard: '', term: 5, incarnation: 'first'},
			send(_toId, message) {
				rows += message.kind === 'placement.record-servers' ? message.descriptions.length : 0;
			},
			onRecorded() {
				// Nothing waits.
			},
		});
		sender.handleEntry({entryId: 'entry', incarnation: 'one'});
		const servers: BackendServerDescription[] = [];
		for (let position = 0; position < 350; position++) {
			servers.push(describeServer(position));
			sender.setServers(servers);
		}

		assert.ok(rows <= 700);
	});
});

describe('createServerRecords', () => {
	// Guards against a run that is not searched for since a later placer believed the announcement of another writer.
	it('finds both incarnations if two placers have recorded different ones under one id', () => {
		const records = createServerRecords(new VirtualTimers());
		const [known, announced] = [describeServer(1), {...describeServer(1), bornMs: describeServer(1).bornMs + 100}];
		const add = (term: number, placerId: string, description: BackendServerDescription) => {
			records.addServers(placerId, {
				kind: 'placement.record-servers', shard: '', term, incarnation: placerId, listNumber: 1, serverIds: [description.id], descriptions: [description],
			});
			return {view: {term, placerId}, usesRecords: true};
		};

		const digest = records.findDigest('', [add(1, 'first', known), add(2, 'second', announced)]);
		assert.deepEqual(records.findServers(digest!)!.map(({bornMs}) => bornMs).toSorted((left, right) => left - right), [known.bornMs, announced.bornMs]);
	});
});
