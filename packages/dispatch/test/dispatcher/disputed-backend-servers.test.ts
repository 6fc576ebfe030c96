import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {BackendServerAnnouncement} from '@camphortack/core';
import {
	createTestAnnouncement, createTestConfiguration, createTestDispatcher, type TestDispatcher,
} from '../support/create-test-dispatcher.js';
import {createTestDispatchers} from '../support/create-test-dispatchers.js';

const runTimeMs = 1000;
const renewalMs = 5000;

/** A description by another writer, of an incarnation that does not exist, at an address where nothing listens. */
function createOddAnnouncement(id: string, other: Partial<BackendServerAnnouncement> = {}): BackendServerAnnouncement {
	return createTestAnnouncement(id, {incarnation: 'odd', port: 1, ...other});
}

/** Creates a dispatcher with two backend servers of which only the incarnations that listen accept connections. */
function createDisputedDispatcher(listening = new Set(['one'])): TestDispatcher {
	return createTestDispatcher((_, {incarnation}) => listening.has(incarnation) ? {kind: 'done', afterMs: runTimeMs} : {kind: 'connect-refused'});
}

function announceBoth({dispatcher}: TestDispatcher, createAnnouncement: typeof createTestAnnouncement): void {
	for (const id of ['server-1', 'server-2']) {
		dispatcher.announceBackendServer(createAnnouncement(id));
	}
}

describe('a backend server under whose id another incarnation was announced at another address', () => {
	// Guards against tasks that count as lost, and jobs that fail, because of an announcement by another writer.
	it('goes on with its tasks, and gets new ones', () => {
		const test = createDisputedDispatcher();
		const outcomes = [test.submit({id: 'before'}, 4)];
		test.timers.advance(runTimeMs / 2);
		announceBoth(test, createOddAnnouncement);
		outcomes.push(test.submit({id: 'after'}, 4));
		test.timers.advance(2 * runTimeMs);
		assert.deepEqual(outcomes.flat().map(({outcome}) => outcome), ['complete', 'complete']);
		assert.equal(test.metrics.getCount('task-lost'), 0);
		assert.equal(test.events.events.filter(({name}) => name === 'backend-server-disputed').length, 2);
	});

	// Guards against an entry of another writer that is renewed again and again, and hides the backend server, whichever was there first.
	for (const [title, incarnation] of [['before', 'one'], ['after', 'real']] as const) {
		it(`is used within a second if it was announced ${title} the odd entry, however often that one is renewed`, () => {
			const test = createDisputedDispatcher(new Set([incarnation]));
			const outcomes = [];
			for (let renewal = 0; renewal < 12; renewal++) {
				announceBoth(test, createOddAnnouncement);
				announceBoth(test, id => createTestAnnouncement(id, {incarnation}));
				outcomes.push(test.submit({id: `job-${renewal}`, deadlineMs: runTimeMs + 1000}, 4));
				test.timers.advance(renewalMs);
			}

			assert.deepEqual(outcomes.flat().map(({outcome}) => outcome), Array.from({length: 12}, () => 'complete'));
		});
	}

	// Guards against a backend server that has started again elsewhere and gets no tasks, although the one before is gone.
	it('is replaced by it once it refuses a connection, and takes its place again if that one refuses', () => {
		const listening = new Set(['one']);
		const test = createDisputedDispatcher(listening);
		announceBoth(test, id => createTestAnnouncement(id, {incarnation: 'two', port: 9001}));
		const outcomes = [];
		for (const incarnation of ['one', 'two', 'one', 'two']) {
			listening.clear();
			listening.add(incarnation);
			outcomes.push(test.submit({id: `job-${outcomes.length}`}, 4));
			test.timers.advance(2 * runTimeMs);
		}

		assert.deepEqual(outcomes.flat().map(({outcome}) => outcome), Array.from({length: 4}, () => 'complete'));
	});

	// Guards against connections without a pause where neither incarnation accepts one.
	it('is blocked for longer after each refusal of either, as without the other one', () => {
		const [plain, disputed] = [createDisputedDispatcher(new Set()), createDisputedDispatcher(new Set())];
		announceBoth(disputed, createOddAnnouncement);
		for (const test of [plain, disputed]) {
			test.submit({id: 'job'});
			test.timers.advance(9000);
		}

		assert.ok(disputed.starter.batches.length <= plain.starter.batches.length, `${disputed.starter.batches.length} and ${plain.starter.batches.length}`);
	});

	// Guards against a backend server that has started again elsewhere without a word, and whose tasks never end.
	it('is replaced by it when its own announcement expires', () => {
		const test = createTestDispatcher((_, {incarnation}) => incarnation === 'one' ? {kind: 'silence'} : {kind: 'done', afterMs: runTimeMs}, {retryBudgetRatio: 1});
		const outcomes = test.submit({id: 'job', deadlineMs: 60_000, idempotent: false}, 2);
		for (let renewal = 0; renewal < 4; renewal++) {
			announceBoth(test, id => createTestAnnouncement(id, {incarnation: 'two', port: 9001}));
			test.timers.advance(renewalMs);
		}

		const later = test.submit({id: 'later'}, 2);
		test.timers.advance(2 * runTimeMs);
		assert.deepEqual([...outcomes, ...later].map(({outcome}) => outcome), ['failed', 'complete']);
	});

	// Guards against a restart at the same address after which the tasks of the process before go on as if it ran.
	it('is replaced at once if the address is the same, or if it has left', () => {
		for (const isLeaving of [false, true]) {
			const test = createTestDispatcher((_, {incarnation}) => incarnation === 'one' ? {kind: 'silence'} : {kind: 'done', afterMs: runTimeMs});
			const outcomes = test.submit({id: 'job', idempotent: false}, 2);
			if (isLeaving) {
				test.dispatcher.removeBackendServer('server-1', 'one');
				test.dispatcher.removeBackendServer('server-2', 'one');
			}

			announceBoth(test, id => createTestAnnouncement(id, {incarnation: 'two', port: isLeaving ? 9001 : 9000}));
			const later = test.submit({id: 'later'}, 2);
			test.timers.advance(2 * runTimeMs);
			assert.deepEqual([...outcomes, ...later].map(({outcome}) => outcome), ['failed', 'complete']);
		}
	});

	// Guards against a farewell that counts for the other incarnation.
	it('stays when the other one leaves', () => {
		const test = createDisputedDispatcher();
		announceBoth(test, createOddAnnouncement);
		test.dispatcher.removeBackendServer('server-1', 'odd');
		test.dispatcher.removeBackendServer('server-2', 'odd');
		const outcomes = test.submit({id: 'job'}, 4);
		test.timers.advance(2 * runTimeMs);
		assert.deepEqual(outcomes.map(({outcome}) => outcome), ['complete']);
	});

	// Guards against memory that a writer fills which announces a new incarnation each time, and against one that is thereby lost.
	it('stays in use and known when many others are announced', () => {
		const test = createDisputedDispatcher();
		for (let position = 0; position < 100; position++) {
			announceBoth(test, id => createOddAnnouncement(id, {incarnation: `odd-${position}`}));
			announceBoth(test, createTestAnnouncement);
		}

		const outcomes = test.submit({id: 'job'}, 4);
		test.timers.advance(2 * runTimeMs);
		assert.deepEqual(outcomes.map(({outcome}) => outcome), ['complete']);
	});
});

describe('daemons that hear different incarnations of a backend server', () => {
	for (const id of ['server-1', 'server-2', 'server-3', 'server-4']) {
		for (const first of ['a1', 'a2'] as const) {
			// Guards against a manager that knows only the odd entry, because the backend server announces itself to another daemon.
			it(`run jobs on the one of ${id} that accepts connections, if it is announced to a2 and the odd one to a1, at ${first} first`, () => {
				const {timers, dispatchers, starters, submit} = createTestDispatchers(
					{a1: 'zone-a', a2: 'zone-a', a3: 'zone-a'},
					(_, {incarnation}) => incarnation === 'one' ? {kind: 'done', afterMs: runTimeMs} : {kind: 'connect-refused'},
				);
				for (const dispatcher of dispatchers.values()) {
					dispatcher.setConfiguration(createTestConfiguration());
				}

				const announcements = {a1: createOddAnnouncement(id), a2: createTestAnnouncement(id)};
				const outcomes = [];
				timers.advance(3000);
				for (let round = 0; round < 6; round++) {
					for (const daemonId of [first, first === 'a1' ? 'a2' : 'a1'] as const) {
						dispatchers.get(daemonId)!.announceBackendServer(announcements[daemonId]);
						timers.advance(100);
					}

					outcomes.push(submit('a3', {id: `job-${round}`, deadlineMs: 2 * runTimeMs}));
					timers.advance(renewalMs);
				}

				assert.deepEqual(outcomes.flat().map(({outcome}) => outcome), Array.from({length: 6}, () => 'complete'));
				assert.equal([...starters.values()].reduce((sum, {startsByTask}) => sum + startsByTask.size, 0), 6);
			});
		}
	}
});
