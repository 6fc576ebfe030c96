import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestDispatcher, type TestDispatcher} from '../support/create-test-dispatcher.js';

function findExtensions({limitCalls}: TestDispatcher): string[] {
	return limitCalls.filter(call => call.startsWith('extend'));
}

describe('createOverrunMonitor', () => {
	it('extends the reservation of a task that exceeds it, but not of a task that ends in time', () => {
		const system = createTestDispatcher(task => ({kind: 'done', afterMs: task.job === 'long' ? 1900 : 50}));
		system.submit({id: 'short'});
		const outcomes = system.submit({id: 'long'});
		system.timers.advance(3000);
		assert.deepEqual(findExtensions(system), ['extend long by 1', 'extend long by 1.1']);
		assert.equal(outcomes[0]?.outcome, 'complete');
	});

	it('aborts a job that would exceed the declared worker-seconds', () => {
		const system = createTestDispatcher(() => ({kind: 'silence'}), {}, () => false);
		const outcomes = system.submit({id: 'long'});
		system.timers.advance(300);
		const [outcome] = outcomes;
		assert.deepEqual(outcome, {
			outcome: 'failed', id: 'long', reason: 'limit', tasks: [{index: 0, state: 'may-have-run'}],
		});
		assert.equal(system.starter.stops.length, 1);
		assert.equal(findExtensions(system).length, 1);
	});
});

describe('getChargedSeconds', () => {
	const rows: Array<{name: string; kind: 'done' | 'silence' | 'connection-lost'; expectedSeconds: number}> = [
		{name: 'its run time for a completed task', kind: 'done', expectedSeconds: 0.1},
		{name: 'the time until now for a stopped task', kind: 'silence', expectedSeconds: 1},
		{name: 'the time until the deadline for a lost task', kind: 'connection-lost', expectedSeconds: 1},
	];
	for (const {name, kind, expectedSeconds} of rows) {
		it(`charges ${name}`, () => {
			const system = createTestDispatcher(() => (kind === 'done' ? {kind, afterMs: 100} : {kind}));
			system.submit({id: 'job', deadlineMs: 1000});
			system.timers.advance(2000);
			assert.deepEqual(system.limitCalls.filter(call => call.startsWith('end')), [`end job after ${expectedSeconds}`]);
		});
	}
});
