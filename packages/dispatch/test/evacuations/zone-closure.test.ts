import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestAnnouncement, createTestConfiguration, createTestDispatcher} from '../support/create-test-dispatcher.js';
import {createTestDispatchers} from '../support/create-test-dispatchers.js';

const taskMs = 400;

describe('a closed availability zone without another daemon', () => {
	// Guards against work that is held until its deadline although no zone can take it.
	it('refuses new jobs at once, with retries spread over time', () => {
		const {submit, timers, starter, dispatcher, metrics} = createTestDispatcher();
		dispatcher.setClosedZones(['zone-a']);
		const delays = Array.from({length: 20}, (_, index) => {
			const [outcome] = submit({id: `job-${index}`}, 3);
			assert.ok(outcome?.outcome === 'refused' && outcome.code === 'no-backend-server');
			return outcome.retryAfterMs!;
		});
		assert.ok(Math.min(...delays) >= 1000 && Math.max(...delays) <= 3000 && new Set(delays).size > 10, delays.join(' '));
		timers.advance(5000);
		assert.equal(starter.batches.length, 0);
		assert.equal(metrics.getCount('refused-no-backend-server'), 20);
	});

	it('lets running tasks end, refuses waiting jobs at once, and ends a job that has begun after at most a second', () => {
		const {submit, timers, starter, dispatcher} = createTestDispatcher(({job}) => ({kind: 'done', afterMs: job === 'long' ? 5000 : taskMs}));
		const complete = submit({id: 'complete'}, 4);
		const half = submit({id: 'half'}, 20);
		const long = submit({id: 'long'}, 20);
		const waiting = submit({id: 'waiting'}, 2);
		timers.advance(100);
		const started = starter.startsByTask.size;
		dispatcher.setClosedZones(['zone-a']);
		assert.deepEqual([complete.length, half.length, waiting.length], [0, 0, 1]);
		assert.ok(waiting[0]?.outcome === 'refused' && waiting[0].code === 'no-backend-server');
		timers.advance(taskMs);
		assert.equal(complete[0]?.outcome, 'complete');
		timers.advance(1000);
		for (const [outcome] of [half, long]) {
			assert.ok(outcome?.outcome === 'failed' ? outcome.reason === 'daemon-lost' : outcome?.outcome === 'refused');
		}

		timers.advance(10_000);
		assert.equal(starter.startsByTask.size, started);
	});

	it('starts tasks again when it is open, and ignores the closure of other zones', () => {
		const {submit, timers, dispatcher} = createTestDispatcher();
		for (const {zones, expected} of [
			{zones: ['zone-b'], expected: 'complete'},
			{zones: ['zone-b', 'zone-a'], expected: 'refused'},
			{zones: ['zone-b'], expected: 'complete'},
			{zones: [], expected: 'complete'},
		]) {
			dispatcher.setClosedZones(zones);
			const outcomes = submit({id: `job ${zones.join(' ')}`}, 20);
			timers.advance(1000);
			assert.equal(outcomes[0]?.outcome, expected, zones.join(' '));
		}
	});

	// A backend server that is announced or unblocked triggers placement by itself.
	it('starts nothing on a backend server that is announced later', () => {
		const {submit, timers, starter, dispatcher} = createTestDispatcher(() => ({kind: 'not-run'}));
		submit({id: 'job'}, 2);
		timers.advance(1);
		dispatcher.setClosedZones(['zone-a']);
		const started = starter.batches.length;
		dispatcher.announceBackendServer(createTestAnnouncement('server-3'));
		timers.advance(5000);
		assert.equal(starter.batches.length, started);
	});
});

describe('a closed availability zone with a daemon elsewhere', () => {
	// Guards against tasks that go back and forth without a pause: such a daemon has announced no load that a refusal could mark.
	it('does not hand tasks again at once to a daemon without a configuration', () => {
		const {timers, dispatchers, messageCounts, submit} = createTestDispatchers({a1: 'zone-a', b1: 'zone-b'});
		const closed = dispatchers.get('a1')!;
		closed.setConfiguration(createTestConfiguration());
		closed.announceBackendServer(createTestAnnouncement('server-1'));
		timers.advance(1000);
		closed.setClosedZones(['zone-a']);
		submit('a1', {id: 'job', tasks: [{payload: 0}, {payload: 1}, {payload: 2}]});
		timers.advance(3000);
		const count = messageCounts.get('a1>b1 dispatch.job') ?? 0;
		assert.ok(count > 0 && count <= 10, `${count} messages`);
	});
});
