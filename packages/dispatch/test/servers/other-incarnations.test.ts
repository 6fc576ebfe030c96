import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createBackendServerRecord, type BackendServerRecord} from '../../src/servers/backend-server-record.js';
import {createOtherIncarnations} from '../../src/servers/other-incarnations.js';
import {createTestAnnouncement} from '../support/create-test-dispatcher.js';

function createRecord(incarnation: string, lastSeenMs: number): BackendServerRecord {
	return createBackendServerRecord(createTestAnnouncement('server-1', {incarnation}), lastSeenMs);
}

function getIncarnations(servers: readonly BackendServerRecord[]): string[] {
	return servers.map(({announcement}) => announcement.incarnation);
}

describe('createOtherIncarnations', () => {
	// Guards against an incarnation that gets no turn because later ones are announced again and again.
	it('keeps the order in which incarnations were added', () => {
		const others = createOtherIncarnations();
		const [two, three] = [createRecord('two', 5), createRecord('three', 1)];
		others.add(two);
		others.add(three);
		assert.deepEqual(getIncarnations(others.getServers('server-1')), ['two', 'three']);
		assert.equal(others.findServer('server-1', 'three'), three);
		assert.deepEqual([others.remove(two), others.remove(two)], [true, false]);
		assert.deepEqual(getIncarnations(others.getServers('server-1')), ['three']);
		assert.deepEqual(others.getServers('server-2'), []);
	});

	// Guards against memory that a writer fills which announces a new incarnation each time.
	it('drops the one that was heard least recently if there are more than four', () => {
		const others = createOtherIncarnations();
		const dropped = [30, 10, 40, 20, 50, 60].map((lastSeenMs, index) => others.add(createRecord(`${index}`, lastSeenMs)));
		assert.deepEqual(dropped.map(server => server?.announcement.incarnation), [undefined, undefined, undefined, undefined, '1', '3']);
		assert.deepEqual(getIncarnations(others.getServers('server-1')), ['0', '2', '4', '5']);
	});
});
