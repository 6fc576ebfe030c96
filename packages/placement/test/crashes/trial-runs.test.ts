import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestPlacer, defaultRequest} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

const steps = [{
	...defaultRequest.steps[0]!, taskCount: 1, cpuMillicores: 5000, estimateMs: 900,
}];
const maxSuspectAgeMs = 40;

describe('a task under which a backend server has crashed', () => {
	// Guards against a further crash of which it cannot be said which of several new tasks has caused it.
	it('starts where no other task has just started, and no other starts there for a moment', async () => {
		const {timers, fleet, submit} = createTestPlacer({serverCount: 2, getDurationMs: () => 900});
		await runFor(timers, 20);
		submit({
			jobId: 'crashed', steps, callerTimeoutMs: 9000, slackMs: 9000,
		});
		await runFor(timers, 10);
		fleet.crashProcess(fleet.records[0]!.serverId);
		for (let position = 0; position < 200; position++) {
			submit({jobId: `other-${position}`, steps: [{...steps[0]!, cpuMillicores: 100}]});
			// eslint-disable-next-line no-await-in-loop -- Jobs arrive over time.
			await runFor(timers, 15);
		}

		const repeated = fleet.records.filter(({taskName}) => taskName === 'crashed.0.0.0')[1]!;
		const others = fleet.records.filter(({taskName, serverId}) => taskName !== 'crashed.0.0.0' && serverId === repeated.serverId);
		const distancesMs = others.map(({startedAtMs}) => Math.abs(startedAtMs - repeated.startedAtMs));
		assert.ok(others.length > 20);
		assert.ok(Math.min(...distancesMs) > maxSuspectAgeMs - 2, `${Math.min(...distancesMs)} ms`);
	});
});
