import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestPlacer, defaultRequest} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

describe('createCrashMonitor', () => {
	it('lists the runs of a backend server that refuses connections, the newest first, with queue and age', async () => {
		const {timers, fleet, submit, events, metrics} = createTestPlacer({serverCount: 1, getDurationMs: () => 900});
		const steps = [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 900}];
		await runFor(timers, 10);
		submit({jobId: 'old', steps});
		await runFor(timers, 40);
		submit({jobId: 'new', queueName: 'other', steps});
		await runFor(timers, 10);
		fleet.crashProcess('server-0');
		await runFor(timers, 100);
		assert.deepEqual(events.events.filter(({name}) => name === 'backend-server-crashed').map(({fields}) => fields), [
			{
				server: 'server-0', runCount: 2, suspect: 'new.0.0.0', runs: 'new.0.0.0 other 9 ms running, old.0.0.0 estimates 51 ms running',
			},
		]);
		assert.equal(metrics.getCount('backend-server-crashed'), 1);
	});

	const resolutions = [
		{title: 'the same incarnation responds again', restart: false, hasCrashed: false},
		{title: 'another incarnation responds', restart: true, hasCrashed: true},
	];
	for (const {title, restart, hasCrashed} of resolutions) {
		it(`logs that a backend server has ${hasCrashed ? '' : 'not '}crashed when ${title}`, async () => {
			const {timers, fleet, submit, events} = createTestPlacer({serverCount: 1, getDurationMs: () => 900});
			await runFor(timers, 10);
			submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 900}]});
			await runFor(timers, 10);
			if (restart) {
				fleet.crashProcess('server-0');
			} else {
				fleet.servers[0]!.fault = {isRefusing: true};
			}

			await runFor(timers, 1500);
			fleet.servers[0]!.fault = {...fleet.servers[0]!.fault, isRefusing: restart};
			await runFor(timers, 2500);
			const resolved = events.events.filter(({name}) => name === 'backend-server-crash-resolved');
			assert.deepEqual(resolved.map(({fields}) => [fields.server, fields.hasCrashed]), [['server-0', hasCrashed]]);
		});
	}

	it('records no crash of a backend server that does not answer', async () => {
		const {timers, fleet, submit, events} = createTestPlacer({serverCount: 1, getDurationMs: () => 900});
		await runFor(timers, 10);
		submit({jobId: 'job', steps: [{...defaultRequest.steps[0]!, taskCount: 1, estimateMs: 900}]});
		await runFor(timers, 10);
		fleet.servers[0]!.fault = {isUnreachableFrom: () => true};
		await runFor(timers, 3000);
		assert.deepEqual(events.events.filter(({name}) => name === 'backend-server-crashed'), []);
	});
});
