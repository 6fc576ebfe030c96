import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestPlacer, defaultRequest, type TestPlacer} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

const coldMs = 1500;
const slowdownFactor = 6;

/** Runs a job of three tasks on three backend servers, one of which is six times slower, and then one more job. */
async function runOnSlowServer(isCold: boolean): Promise<TestPlacer> {
	const test = createTestPlacer({serverCount: 3, cpuMillicores: 30_000});
	const [slow] = test.fleet.servers;
	slow!.fault = {slowdownFactor};
	if (isCold) {
		slow!.description = {...slow!.description, coldMs};
		test.placer.setServers(test.fleet.getDescriptions(), 0);
	}

	await runFor(test.timers, 10);
	test.submit({jobId: 'job', stretch: 20, steps: [{...defaultRequest.steps[0]!, taskCount: 3}]});
	await runFor(test.timers, 1000);
	test.submit({jobId: 'next'});
	await runFor(test.timers, 10);
	return test;
}

describe('a backend server that is slow', () => {
	const rows = [
		// Guards against backend servers that have just been put back into use and lose their runs because they are cold.
		{title: 'because it is cold keeps its run, which does not count for the estimates', isCold: true, expected: {slowRuns: 0, expectedMs: 100}},
		{title: 'without being cold has its run stopped', isCold: false, expected: {slowRuns: 1, expectedMs: 100}},
	];
	for (const {title, isCold, expected} of rows) {
		it(title, async () => {
			const {events, results} = await runOnSlowServer(isCold);
			assert.deepEqual(results.get('job'), {outcome: 'completed'});
			const taken = events.events.findLast(({name}) => name === 'job-taken');
			assert.deepEqual({slowRuns: events.events.filter(({name}) => name === 'task-slow').length, expectedMs: Math.round(Number(taken?.fields.expectedMs) / 10) * 10}, expected);
		});
	}
});
