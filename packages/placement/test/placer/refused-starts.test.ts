import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestPlacer, defaultRequest} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

const steps = [{...defaultRequest.steps[0]!, taskCount: 1}];

describe('a placer whose start requests are refused a connection', () => {
	// Guards against a task that waits for the lease of a run that cannot have started.
	it('starts the task on another backend server at once', async () => {
		const {timers, fleet, submit, results, endedAtMs, events} = createTestPlacer({serverCount: 2, getDurationMs: () => 100});
		await runFor(timers, 10);
		fleet.servers[0]!.fault = {isRefusing: true};
		submit({jobId: 'job', steps});
		await runFor(timers, 300);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.ok(endedAtMs.get('job')! < 150, `${endedAtMs.get('job')} ms`);
		const repeated = events.events.filter(({name}) => name === 'task-repeated');
		assert.deepEqual(repeated.map(({fields}) => [fields.server, fields.reason]), [['server-0', 'not-started']]);
	});

	// Guards against a second run while a delayed first copy of the start may still take effect.
	it('waits for the claim if an earlier copy of the request may have arrived', async () => {
		const {timers, fleet, submit, results} = createTestPlacer({serverCount: 2, getDurationMs: () => 400, getRequestDelayMs: () => 200});
		await runFor(timers, 10);
		const [first, second] = fleet.servers;
		first!.fault = {isRequestDelayed: () => true};
		second!.fault = {isRequestDelayed: () => true};
		submit({jobId: 'job', steps});
		await runFor(timers, 5);
		first!.fault = {isRefusing: true};
		second!.fault = {isRefusing: true};
		await runFor(timers, 400);
		first!.fault = {};
		second!.fault = {};
		await runFor(timers, 2000);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
		assert.deepEqual(fleet.findOverlaps(), []);
	});
});
