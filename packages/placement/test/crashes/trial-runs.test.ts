import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {createCrashRegister} from '../../src/crashes/crash-register.js';
import {createTrialRuns} from '../../src/crashes/trial-runs.js';
import {createPlacedTasks} from '../../src/jobs/placed-job.js';
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

	const waits: Array<{title: string; waitSinceMs: number | undefined; hasCrash: boolean; expected: string[]}> = [
		{
			title: 'a task without a crash', waitSinceMs: undefined, hasCrash: false, expected: ['failed-there'],
		},
		{
			title: 'a task that has not waited', waitSinceMs: undefined, hasCrash: true, expected: ['failed-there', 'server-0'],
		},
		{
			title: 'a task that has waited for a moment', waitSinceMs: 800, hasCrash: true, expected: ['failed-there', 'server-0'],
		},
		// Guards against a task that never starts because others start on every backend server all the time.
		{
			title: 'a task that has waited for long', waitSinceMs: 600, hasCrash: true, expected: ['failed-there'],
		},
	];
	for (const {title, waitSinceMs, hasCrash, expected} of waits) {
		it(`avoids backend servers with new runs: ${title} → ${expected.join(', ')}`, () => {
			const timers = new VirtualTimers();
			timers.advance(1000);
			const crashRegister = createCrashRegister(timers);
			if (hasCrash) {
				crashRegister.addRecord({
					taskName: 'crashed.0.0.0', queueName: 'estimates', serverId: 'server-1', bornMs: 1, isSuspect: true, ageMs: 500,
				});
			}

			const [task] = createPlacedTasks({...defaultRequest, jobId: 'crashed', steps}, 0, [{expectedMs: 900, followingMs: 0}]);
			task!.avoidedServerIds.add('failed-there');
			task!.trialWaitSinceMs = waitSinceMs;
			const trialRuns = createTrialRuns(timers, crashRegister);
			trialRuns.addStart('other.0.0.0', 'server-0');
			assert.deepEqual([...trialRuns.getAvoidedServerIds(task!)], expected);
		});
	}
});
