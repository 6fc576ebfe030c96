import assert from 'node:assert/strict';
import {it} from 'node:test';
import {createTestPlacer} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

// Guards against a takeover whose phases cannot be told apart in the log.
it('a placer reports half and all of the backend servers claimed, and its first start, once each', async () => {
	const {timers, fleet, events, submit} = createTestPlacer({serverCount: 4});
	fleet.servers[0]!.fault = {isUnreachableFrom: () => timers.getNowMs() < 100};
	await runFor(timers, 20);
	submit({jobId: 'one'});
	submit({jobId: 'two'});
	await runFor(timers, 1500);
	const milestones = events.events.flatMap(({name, fields}) => (name === 'placer-progressed' ? [[fields.milestone, fields.heldServers, Number(fields.afterMs) < 100]] : []));
	assert.deepEqual(milestones, [['half-claimed', 2, true], ['first-start', 3, true], ['all-claimed', 4, false]]);
});
