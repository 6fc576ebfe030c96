import assert from 'node:assert/strict';
import {it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {createBackendServerRecord, type BackendServerRecord} from '../../src/servers/backend-server-record.js';
import {createServerLosses} from '../../src/tasks/server-losses.js';
import {createTestAnnouncement} from '../support/create-test-dispatcher.js';

type Case = {
	name: string;
	isLeaving?: boolean;
	/** Another backend server that is lost with a task of a job, and how much later. */
	other?: {jobId: string; afterMs: number};
	/** When the backend server is heard after its loss, and whether its process has restarted. */
	heard?: {afterMs: number; incarnation: string};
	expected: boolean;
};

const cases: Case[] = [
	{name: 'a loss without any other cause', expected: true},
	{name: 'the loss of a backend server that is leaving', isLeaving: true, expected: false},
	{name: 'a loss with that of a backend server with other jobs', other: {jobId: 'other', afterMs: 50}, expected: false},
	{name: 'a loss some time before that of a backend server with other jobs', other: {jobId: 'other', afterMs: 51}, expected: true},
	{name: 'a loss with that of a backend server with tasks of the same job', other: {jobId: 'job', afterMs: 0}, expected: true},
	{name: 'the loss of a backend server that is heard again', heard: {afterMs: 101, incarnation: 'one'}, expected: false},
	{name: 'the loss of a backend server that is heard again after a restart', heard: {afterMs: 101, incarnation: 'two'}, expected: true},
	{name: 'the loss of a backend server whose last message arrives late', heard: {afterMs: 100, incarnation: 'one'}, expected: true},
];

// Guards against a task that is given up for losses that it did not cause, and one that is not given up for those that it caused.
for (const {name, isLeaving = false, other, heard, expected} of cases) {
	it(`${expected ? 'counts' : 'does not count'} ${name} against a task`, () => {
		const timers = new VirtualTimers();
		const servers = new Map<string, BackendServerRecord>();
		const losses = createServerLosses({timers, findServer: id => servers.get(id)});
		const addServer = (id: string, incarnation = 'one') => {
			const server = createBackendServerRecord(createTestAnnouncement(id, {incarnation}), timers.getNowMs());
			servers.set(id, server);
			return server;
		};

		const server = addServer('server-1');
		server.isLeaving = isLeaving;
		const loss = losses.addLoss(server, 'job');
		if (other !== undefined) {
			timers.advance(other.afterMs);
			losses.addLoss(addServer('server-2'), other.jobId);
		}

		if (heard !== undefined) {
			timers.advance(heard.afterMs);
			addServer('server-1', heard.incarnation);
		}

		assert.equal(losses.mayHaveCaused('job', loss), expected);
	});
}
