import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestAnnouncement, createTestDispatcher} from '../support/create-test-dispatcher.js';

describe('dispatcher of a single daemon', () => {
	it('runs all tasks of a job exactly once, with one message per backend server', () => {
		const {submit, timers, starter, limitCalls} = createTestDispatcher();
		const outcomes = submit({id: 'job'}, 12);
		timers.advance(1000);
		assert.deepEqual(outcomes, [{
			outcome: 'complete', id: 'job', results: Array.from({length: 12}, (_, index) => `job/${index}`),
		}]);
		assert.equal(starter.batches.length, 2);
		assert.deepEqual([...starter.startsByTask.values()], Array.from({length: 12}, () => 1));
		assert.equal(limitCalls.filter(call => call.startsWith('end job after ')).length, 12);
	});

	it('keeps tasks queued on the daemon until a slot is free', () => {
		const {submit, timers, starter} = createTestDispatcher();
		const outcomes = submit({id: 'job'}, 100);
		timers.advance(2000);
		assert.equal(outcomes[0]?.outcome, 'complete');
		assert.equal(starter.maxBusy, 8);
	});

	it('discards duplicate and unknown answers', () => {
		const {submit, timers, starter, dispatcher, metrics} = createTestDispatcher();
		const outcomes = submit({id: 'job'});
		timers.advance(1000);
		const {attempt} = starter.batches[0]!.batch.tasks[0]!;
		for (const id of [attempt, 'other.7']) {
			dispatcher.handleTaskEvent({kind: 'answer', backendServerId: 'server-1', answer: {attempt: id, state: 'done', result: 'wrong'}});
		}

		assert.deepEqual(outcomes, [{outcome: 'complete', id: 'job', results: ['job/0']}]);
		assert.equal(metrics.getCount('answer-discarded-doubled'), 1);
		assert.equal(metrics.getCount('answer-discarded-unknown'), 1);
	});

	it('places refused and not-run tasks again, but never tasks that may have run', () => {
		const table = [
			{kind: 'connect-refused', isComplete: true},
			{kind: 'not-run', isComplete: true},
			{kind: 'connection-lost', isComplete: false},
		] as const;
		for (const {kind, isComplete} of table) {
			const {submit, timers, starter} = createTestDispatcher((_, server) =>
				server.id === 'server-1' ? {kind} : {kind: 'done', afterMs: 10});
			const outcomes = submit({id: 'job'});
			timers.advance(5000);
			assert.equal(outcomes[0]?.outcome, isComplete ? 'complete' : 'failed', kind);
			assert.equal(starter.startsByTask.get('job/0'), 1, kind);
		}
	});

	it('retries an idempotent task that may have run, within the retry budget', () => {
		const {submit, timers, starter} = createTestDispatcher(({job}) =>
			job === 'job' && starter.startsByTask.get('job/0') === undefined ? {kind: 'connection-lost'} : {kind: 'done', afterMs: 10});
		submit({id: 'successes'}, 10);
		timers.advance(100);
		const outcomes = submit({id: 'job', idempotent: true});
		timers.advance(1000);
		assert.equal(outcomes[0]?.outcome, 'complete');
		assert.equal(starter.startsByTask.get('job/0'), 2);
		const withoutBudget = createTestDispatcher(() => ({kind: 'connection-lost'}), {retryBudgetRatio: 0});
		assert.equal(withoutBudget.submit({id: 'job', idempotent: true}).length, 0);
		withoutBudget.timers.advance(1000);
		assert.equal(withoutBudget.starter.startsByTask.get('job/0'), 1);
	});

	// Guards against an idempotent task that is sent to one backend server after the other and crashes each of them.
	it('gives an idempotent task up under which two backend servers were lost', () => {
		const {submit, timers, starter} = createTestDispatcher(({job}) => job === 'job' ? {kind: 'connection-lost'} : {kind: 'done', afterMs: 10}, {retryBudgetRatio: 1});
		submit({id: 'successes'}, 10);
		timers.advance(100);
		const outcomes = submit({id: 'job', idempotent: true});
		timers.advance(1000);
		assert.equal(starter.startsByTask.get('job/0'), 2);
		assert.equal(outcomes[0]?.outcome, 'failed');
	});

	it('reports the state of each task when a job fails at its deadline', () => {
		const {submit, timers, starter} = createTestDispatcher(task => task.index === 0 ? {kind: 'done', afterMs: 10} : {kind: 'silence'});
		const outcomes = submit({id: 'job', deadlineMs: 500}, 20);
		timers.advance(499);
		assert.equal(outcomes.length, 0);
		timers.advance(1);
		const [outcome] = outcomes;
		assert.ok(outcome?.outcome === 'failed');
		assert.equal(outcome.reason, 'deadline');
		const states = outcome.tasks.map(task => task.state);
		assert.deepEqual(
			['done', 'may-have-run', 'not-run'].map(state => states.filter(other => other === state).length),
			[1, 16, 3],
		);
		assert.equal(starter.stops.length, 2);
	});

	it('fails a job as soon as one of its tasks ends in an error', () => {
		const {submit, timers} = createTestDispatcher(task => task.index === 1 ? {kind: 'error', afterMs: 5} : {kind: 'done', afterMs: 900});
		const outcomes = submit({id: 'job'}, 3);
		timers.advance(6);
		assert.ok(outcomes[0]?.outcome === 'failed');
		assert.deepEqual(outcomes[0].tasks[1], {index: 1, state: 'done', error: 'failed'});
	});

	it('cancels queued tasks without a message and running tasks with one message per backend server', () => {
		const {submit, timers, starter, dispatcher} = createTestDispatcher();
		const running = submit({id: 'running'}, 16);
		const waiting = submit({id: 'waiting'}, 16);
		timers.advance(10);
		assert.equal(dispatcher.cancelJob('waiting'), true);
		assert.equal(starter.stops.length, 0);
		assert.ok(waiting[0]?.outcome === 'refused' && waiting[0].code === 'cancelled');
		assert.equal(dispatcher.cancelJob('running'), true);
		assert.equal(starter.stops.length, 2);
		assert.equal(running[0]?.outcome, 'failed');
		assert.equal(dispatcher.cancelJob('running'), false);
	});

	it('refuses jobs that can never be served at once', () => {
		const {submit, dispatcher, starter} = createTestDispatcher(undefined, {mostQueuedTasks: 10});
		const table = [
			{job: {customer: 'nobody'}, code: 'unknown-customer'},
			{job: {service: 'nothing'}, code: 'unknown-service'},
			{job: {tasks: [{payload: 1, needs: {processors: 65}}]}, code: 'never-fits'},
			{job: {deadlineMs: 50}, code: 'deadline-unreachable'},
			{job: {tasks: Array.from({length: 11}, () => ({payload: 1}))}, code: 'queue-full'},
		];
		for (const {job, code} of table) {
			const [outcome] = submit({id: code, ...job});
			assert.ok(outcome?.outcome === 'refused' && outcome.code === code, code);
		}

		dispatcher.startDraining();
		const [outcome] = submit({id: 'draining'});
		assert.ok(outcome?.outcome === 'refused' && outcome.code === 'draining');
		assert.equal(starter.batches.length, 0);
	});

	it('starts no tasks on a backend server that left or expired, and counts answers as renewals', () => {
		const {submit, timers, starter, dispatcher} = createTestDispatcher(() => ({kind: 'done', afterMs: 4000}));
		dispatcher.removeBackendServer('server-1', 'one');
		submit({id: 'first'});
		timers.advance(12_000);
		submit({id: 'second'});
		timers.advance(6000);
		assert.deepEqual(starter.batches.map(({serverId}) => serverId), ['server-2', 'server-2']);
		timers.advance(20_000);
		const [outcome] = submit({id: 'third'});
		assert.ok(outcome?.outcome === 'refused' && outcome.code === 'no-backend-server');
		dispatcher.announceBackendServer(createTestAnnouncement('server-2', {incarnation: 'two'}));
		submit({id: 'fourth'});
		assert.equal(starter.batches.length, 3);
	});
});
