import assert from 'node:assert/strict';
import {it} from 'node:test';
import {startFakeDaemon} from '../fixtures/fake-daemon.js';
import {runCommand} from '../fixtures/run-command.js';

const limits = [{
	name: 'rate',
	holderKind: 'customer',
	holderName: 'chain',
	declared: {tasksPerSecond: 90},
	share: {tasksPerSecond: 30},
	used: {tasksPerSecond: 12.345},
}, {
	name: 'fleet',
	resource: 'in-flight',
	declared: 9000,
	share: 3000,
	used: 0,
}];
const createServer = (id: string, availabilityZone: string, isEjected: boolean) => ({
	id,
	availabilityZone,
	slots: 8,
	managerId: 'n1',
	heldSlots: 4,
	busySlots: 3,
	isEjected,
	isLeaving: false,
});
const status = {
	daemon: {
		id: 'n1',
		incarnation: 'i1',
		availabilityZone: 'north',
		roles: ['entry', 'keeper'],
		isDraining: false,
		isReady: true,
	},
	configuration: {version: 41, isStale: true},
	members: [
		{id: 'n1', availabilityZone: 'north', isAlive: true},
		{id: 'n2', availabilityZone: 'north', isAlive: false},
		{id: 's1', availabilityZone: 'south', isAlive: false},
	],
	keepers: {
		leaderId: 's1',
		term: 7,
		isLeader: false,
		isReachable: false,
	},
	dispatcher: {
		queuedTasks: 5,
		queuedBytes: 900,
		runningTasks: 3,
		openJobs: 2,
		isDraining: false,
		backendServers: [createServer('b1', 'north', false), createServer('b2', 'south', true)],
	},
	limits,
};

it('status shows the version in force, problems, ejections and usage', async context => {
	const daemon = await startFakeDaemon(context, {'GET /v1/status': [{status: 200, body: status}]});
	const {exitCode, stdout} = await runCommand(['status', '--operators-url', `${daemon.url}/`]);
	assert.equal(exitCode, 0);
	assert.equal(stdout, `\
daemon         n1 in north (entry, keeper): ready
configuration  version 41 in force, stale
keepers        leader s1, term 7
work           2 open jobs, 3 tasks running, 5 queued (900 bytes)

problems:
  the keepers are unreachable: nothing can be published through this daemon
  the configuration may be outdated; the current version stays in force
  availability zone south: no daemon is alive
  daemon n2 in north is not alive
  backend server b2 is ejected

zone   daemons alive  backend servers  slots
north  1 of 2         1                8
south  0 of 1         1                8

backend server  zone   slots  held here  busy here  slot manager  state
b1              north  8      4          3          n1
b2              south  8      4          3          n1            ejected

limit            holder          declared           share here         used
rate             customer/chain  tasksPerSecond 90  tasksPerSecond 30  tasksPerSecond 12.35
fleet/in-flight  shared by all   9000               3000               0
`);
});

it('status shows the evacuated availability zones once there was an order', async context => {
	const rows = [
		{evacuations: {revision: 0, availabilityZones: []}, expected: undefined},
		{evacuations: {revision: 3, availabilityZones: ['north', 'south']}, expected: 'evacuated      north, south (revision 3)'},
		{evacuations: {revision: 5, availabilityZones: []}, expected: 'evacuated      no availability zone (revision 5)'},
	];
	const daemon = await startFakeDaemon(context, {
		'GET /v1/status': rows.map(({evacuations}) => ({status: 200, body: {...status, evacuations}})),
	});
	for (const {expected} of rows) {
		// eslint-disable-next-line no-await-in-loop -- The daemon answers in this order.
		const {stdout} = await runCommand(['status', '--operators-url', daemon.url]);
		assert.equal(stdout.split('\n').find(line => line.startsWith('evacuated')), expected);
	}
});

it('limits prints the shares of the daemon', async context => {
	const daemon = await startFakeDaemon(context, {'GET /v1/limits': [{status: 200, body: {limits}}]});
	const {stdout} = await runCommand(['limits', '--operators-url', daemon.url]);
	assert.match(stdout, /tasksPerSecond 30/v);
	const json = await runCommand(['limits', '--operators-url', daemon.url, '--json']);
	assert.deepEqual(JSON.parse(json.stdout), {limits});
});

it('where shows the decision, the candidates and what excludes others', async context => {
	const explanation = {
		pool: 'main',
		expectedRunTimeMs: 100,
		expectedWaitMs: 0,
		queuedTasks: 2,
		slots: 16,
		candidates: [{
			id: 'b1', availabilityZone: 'a', freeSlots: 3, expectedCompletionMs: 100,
		}],
		excluded: {leaving: 2},
		partners: [{id: 'd2', slots: 8, room: -1.2}],
	};
	const refused = {
		refusal: 'unknown-service', queuedTasks: 0, slots: 0, candidates: [], excluded: {}, partners: [],
	};
	const daemon = await startFakeDaemon(context, {'POST /v1/where': [{status: 200, body: explanation}, {status: 200, body: refused}, 'lost']});
	const submission = JSON.stringify({customer: 'chain', service: 'price', payload: 1});
	const args = ['where', '-', '--operators-url', daemon.url];
	const accepted = await runCommand(args, {stdin: submission});
	assert.equal(accepted.stdout, [
		'decision  accepted',
		'pool      main: 16 slots of this daemon, 2 tasks queued',
		'wait      0 ms',
		'run time  100 ms expected',
		'',
		'backend server  zone  free slots  completion  state',
		'b1              a     3           100 ms      takes it now',
		'',
		'excluded now  backend servers',
		'leaving       2',
		'',
		'other daemon  slots  room',
		'd2            8      -1',
		'',
	].join('\n'));
	const unserved = await runCommand(args, {stdin: submission});
	assert.deepEqual([accepted.exitCode, unserved.exitCode, unserved.stdout], [0, 4, 'decision  refused (unknown-service)\n']);
	// A lost response leaves nothing unknown, since the request has no effect.
	const lost = await runCommand(args, {stdin: submission});
	assert.equal(lost.exitCode, 3);
});

it('drain sends one request, for the daemon or a backend server', async context => {
	const daemon = await startFakeDaemon(context, {'POST /v1/drain': [{status: 200, body: {}}, {status: 503, body: {}}, 'lost']});
	const first = await runCommand(['drain', '--operators-url', daemon.url]);
	const second = await runCommand(['drain', '--backend-server', 'b1', '--operators-url', daemon.url]);
	const third = await runCommand(['drain', '--operators-url', daemon.url]);
	assert.deepEqual([first.exitCode, second.exitCode, third.exitCode], [0, 4, 6]);
	assert.deepEqual(daemon.received.map(({body}) => body), [{}, {backendServerId: 'b1'}, {}]);
});

it('the HTTP library does not retry requests', async context => {
	const daemon = await startFakeDaemon(context, {'GET /v1/status': ['lost'], 'GET /v1/limits': [{status: 503, body: {code: 'draining', message: 'stopping'}}]});
	const lost = await runCommand(['status', '--operators-url', daemon.url]);
	const refused = await runCommand(['limits', '--operators-url', daemon.url]);
	assert.deepEqual([lost.exitCode, refused.exitCode, refused.stderr], [3, 4, 'camphortack: refused (draining): stopping\n']);
	assert.equal(daemon.received.length, 2);
});
