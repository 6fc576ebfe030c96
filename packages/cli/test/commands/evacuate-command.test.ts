import assert from 'node:assert/strict';
import {it} from 'node:test';
import {startFakeDaemon, type FakeResponse} from '../fixtures/fake-daemon.js';
import {runCommand} from '../fixtures/run-command.js';

const route = 'POST /v1/evacuations/zone%20a';
const stored = {availabilityZone: 'zone a', isEvacuated: true, revision: 3};

it('evacuate orders an evacuation, and ends it with --end', async context => {
	const daemon = await startFakeDaemon(context, {
		[route]: [{status: 200, body: stored}],
		'DELETE /v1/evacuations/zone%20a': [{status: 200, body: {...stored, isEvacuated: false, revision: 4}}],
	});
	const first = await runCommand(['evacuate', 'zone a', '--operators-url', daemon.url]);
	const second = await runCommand(['evacuate', '--end', 'zone a', '--operators-url', daemon.url, '--json']);
	assert.deepEqual([first.exitCode, second.exitCode], [0, 0]);
	assert.equal(first.stdout, 'availability zone zone a is evacuated: no task starts there from 5 s on (revision 3)\n');
	assert.deepEqual(JSON.parse(second.stdout), {...stored, isEvacuated: false, revision: 4});
	assert.deepEqual(daemon.received.map(request => request.route), [route, 'DELETE /v1/evacuations/zone%20a']);
});

// Guards against an operator who takes an order that may still take effect for one that was refused.
it('evacuate tells an unknown outcome from a refusal, with one request each', async context => {
	const rows: Array<[FakeResponse, number, RegExp]> = [
		[{status: 503, body: {code: 'unknown', message: 'No majority.'}}, 6, /may still take effect/v],
		['lost', 6, /the response was lost/v],
		[{status: 503, body: {code: 'unconfirmed-daemons', message: 'Daemons: n2.'}}, 4, /refused \(unconfirmed-daemons\): Daemons: n2/v],
		[{status: 404, body: {code: 'unknown-availability-zone', message: 'Known are: a.'}}, 1, /Known are: a/v],
		[{status: 200, body: {}}, 6, /unexpected response/v],
	];
	for (const [response, exitCode, message] of rows) {
		// eslint-disable-next-line no-await-in-loop -- One daemon after the other.
		const daemon = await startFakeDaemon(context, {[route]: [response]});
		// eslint-disable-next-line no-await-in-loop -- One command after the other.
		const result = await runCommand(['evacuate', 'zone a', '--operators-url', daemon.url]);
		assert.equal(result.exitCode, exitCode, String(message));
		assert.match(result.stderr, message);
		assert.equal(daemon.received.length, 1);
	}
});
