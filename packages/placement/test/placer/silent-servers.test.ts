import assert from 'node:assert/strict';
import {it} from 'node:test';
import {createTestPlacer, defaultRequest} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

for (const cutMs of [1700, 1800, 1900, 2000, 2100, 2200, 2300]) {
	// Guards against a search that ends before a backend server that can be reached again is asked.
	it(`asks a backend server that was silent for ${cutMs} ms soon for the runs of a job that is handed over`, async () => {
		const {timers, fleet, createSuccessor, results} = createTestPlacer({getDurationMs: () => 50});
		await runFor(timers, 10);
		const healedAtMs = timers.getNowMs() + cutMs;
		for (const server of fleet.servers) {
			server.fault = {isUnreachableFrom: daemonId => timers.getNowMs() < healedAtMs && daemonId === 'second'};
		}

		const successor = createSuccessor(2, 'second');
		successor.setServers(fleet.getDescriptions(), 0);
		await runFor(timers, cutMs);
		successor.submit('entry', {
			kind: 'placement.submit',
			request: {...defaultRequest, jobId: 'job'},
			generation: 1,
			submissionId: 'one',
			mayHaveStarted: true,
			handover: {placers: [{placerId: 'first', incarnation: 'one'}], registryDigest: ''},
		});
		await runFor(timers, 380);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
	});
}
