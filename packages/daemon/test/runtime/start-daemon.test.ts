import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {connect} from 'node:net';
import {describe, it} from 'node:test';
import {configurationObjectsSchema, readSettings} from '@camphortack/configuration';
import {
	countStarts, createJobBody, publishObjects, sendJson, startTestSystem, testObjects,
} from '../support/test-system.js';
import {startDaemon} from '../../src/index.js';

describe('startDaemon', () => {
	it('returns all results of a job in the order of its tasks, and starts each task once', async () => {
		const system = await startTestSystem([{}, {}]);
		const {status, body} = await system.call('POST', '/v1/jobs', createJobBody(150));
		await system.stop();
		assert.equal(status, 200);
		assert.deepEqual(body.results, Array.from({length: 150}, (_, index) => ({index})));
		assert.equal(countStarts(system.servers), 150);
	});

	it('runs a job once if it is resubmitted while it runs and after it has ended', async () => {
		const system = await startTestSystem([{runTimeMs: 50}]);
		const job = createJobBody(4, {id: 'job-1'});
		const answers = await Promise.all([system.call('POST', '/v1/jobs', job), system.call('POST', '/v1/jobs', job)]);
		answers.push(await system.call('POST', '/v1/jobs', job), await system.call('GET', '/v1/jobs/job-1'));
		const conflict = await system.call('POST', '/v1/jobs', createJobBody(3, {id: 'job-1'}));
		await system.stop();
		assert.deepEqual(answers.map(answer => answer.status), [200, 200, 200, 200]);
		assert.equal(new Set(answers.map(answer => JSON.stringify(answer.body))).size, 1);
		assert.equal(conflict.status, 409);
		assert.equal(countStarts(system.servers), 4);
	});

	it('reports may-have-run for a task whose connection was cut, and does not run it again', async () => {
		const system = await startTestSystem([{shouldCutConnection: () => true}]);
		const {status, body} = await system.call('POST', '/v1/jobs', createJobBody(1));
		await system.stop();
		assert.equal(status, 500);
		assert.deepEqual([body.outcome, body.reason, body.tasks], ['failed', 'task-lost', [{index: 0, state: 'may-have-run'}]]);
		assert.equal(countStarts(system.servers), 1);
	});

	it('finishes jobs in flight and refuses new ones as not run during a graceful shutdown', async () => {
		const system = await startTestSystem(Array.from({length: 4}, () => ({runTimeMs: 200, slots: 64})));
		const answers = Promise.all(Array.from({length: 200}, async () => system.call('POST', '/v1/requests', {
			customer: 'workshop', service: 'quote', payload: 1, deadlineMs: 20_000,
		})));
		const areAllAccepted = async () => {
			const status = await sendJson('GET', `${system.daemon.addresses.operatorsUrl}/v1/status`);
			const counters = Object.entries(status.body.counters ?? {});
			return counters.some(([name, count]) => name === 'job-accepted' && count === 200);
		};

		// eslint-disable-next-line no-await-in-loop -- Polls until the condition holds.
		while (!(await areAllAccepted())) {
			// All 200 requests must be in flight before the shutdown begins.
		}

		const stopped = system.stop();
		const late = await system.call('POST', '/v1/requests', {customer: 'workshop', service: 'quote', payload: 1});
		const finished = await answers;
		const outcomes = finished.map(answer => answer.body.code ?? answer.body.outcome);
		await stopped;
		assert.deepEqual(outcomes, Array.from({length: 200}, () => 'complete'));
		assert.deepEqual([late.status, late.body.code, late.body.notRun], [503, 'draining', 'job']);
	});

	it('runs the job of a caller that disconnected, and returns its outcome to a later lookup', async () => {
		const system = await startTestSystem([{runTimeMs: 50}]);
		const {port, hostname} = new URL(system.daemon.addresses.callersUrl);
		const body = JSON.stringify(createJobBody(1, {id: 'job-2'}));
		const socket = connect(Number(port), hostname);
		socket.write(`POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
		const getJob = async () => system.call('GET', '/v1/jobs/job-2?waitMs=5000');
		let answer = await getJob();
		while (answer.status === 404) {
			// eslint-disable-next-line no-await-in-loop -- Polls until the condition holds.
			answer = await getJob();
			socket.destroy();
		}

		await system.stop();
		assert.equal(answer.body.outcome, 'complete');
		assert.equal(countStarts(system.servers), 1);
	});

	it('refuses submissions and is not ready while it has no configuration', async () => {
		const daemon = await startDaemon(readSettings('(none)', ''));
		const {callersUrl} = daemon.addresses;
		const before = await sendJson('GET', `${callersUrl}/readyz`);
		const refused = await sendJson('POST', `${callersUrl}/v1/jobs`, createJobBody(1));
		await publishObjects(daemon.addresses);
		const after = await sendJson('GET', `${callersUrl}/readyz`);
		await daemon.stop();
		assert.deepEqual([before.status, after.status], [503, 200]);
		assert.deepEqual([refused.status, refused.body.code], [503, 'no-configuration']);
	});

	const badBodies: Array<{name: string; body: unknown; status: number; keys: string[]}> = [
		{
			name: 'all findings of a body', body: {tasks: []}, status: 400, keys: ['customer', 'service', 'tasks'],
		},
		{
			name: 'a payload that is missing', body: createJobBody(1, {tasks: [{}]}), status: 400, keys: ['tasks[0].payload'],
		},
		{
			name: 'a job of 151 tasks', body: createJobBody(151), status: 400, keys: ['tasks'],
		},
	];
	it('refuses invalid input with all findings and their places', async () => {
		const system = await startTestSystem([{}]);
		for (const {name, body, status, keys} of badBodies) {
			// eslint-disable-next-line no-await-in-loop -- The requests are sent one after the other.
			const answer = await system.call('POST', '/v1/jobs', body);
			const findings = JSON.stringify(answer.body.findings);
			assert.equal(answer.status, status, name);
			for (const key of keys) {
				assert.match(findings, new RegExp(`"key":"${key.replaceAll(/[\[\]]/gv, String.raw`\$&`)}"`, 'v'), name);
			}
		}

		const large = await system.call('POST', '/v1/jobs', createJobBody(1, {tasks: [{payload: 'x'.repeat(9_000_000)}]}));
		const unknownService = await system.call('POST', '/v1/jobs', createJobBody(1, {service: 'varnish'}));
		await system.stop();
		assert.deepEqual([large.status, large.body.code], [413, 'payload-too-large']);
		assert.deepEqual([unknownService.status, unknownService.body.code], [404, 'unknown-service']);
		assert.equal(countStarts(system.servers), 0);
	});

	it('explains where a job would go, without starting it', async () => {
		const system = await startTestSystem([{}]);
		const url = `${system.daemon.addresses.operatorsUrl}/v1/where`;
		const accepted = await sendJson('POST', url, createJobBody(2));
		const request = await sendJson('POST', url, {customer: 'workshop', service: 'varnish', payload: 1});
		const invalid = await sendJson('POST', url, {customer: 'workshop'});
		await system.stop();
		assert.deepEqual([accepted.status, accepted.body.candidates, request.body.refusal, invalid.status], [200, [{
			id: 'backend-0', availabilityZone: 'zone-1', freeSlots: 8, expectedCompletionMs: 20,
		}], 'unknown-service', 400]);
		assert.equal(countStarts(system.servers), 0);
	});

	it('sends no new tasks to a backend server that an operator drains', async () => {
		const system = await startTestSystem([{}, {}]);
		const url = `${system.daemon.addresses.operatorsUrl}/v1/drain`;
		const drained = await sendJson('POST', url, {backendServerId: 'backend-0'});
		const unknown = await sendJson('POST', url, {backendServerId: 'backend-9'});
		await system.servers[0]!.announce();
		const {body} = await system.call('POST', '/v1/jobs', createJobBody(40));
		await system.stop();
		assert.deepEqual([drained.status, unknown.status, body.outcome], [202, 404, 'complete']);
		assert.deepEqual(system.servers.map(server => server.starts.size), [0, 40]);
	});

	it('allows only requests with the token of a customer to submit, query and cancel its jobs', async () => {
		const hash = createHash('sha256').update('secret').digest('hex');
		const objects = configurationObjectsSchema.parse({...testObjects, customers: {workshop: {tokenHashes: [hash]}}});
		const system = await startTestSystem([{}], objects);
		const send = async (method: string, path: string, token: string, body?: unknown) => {
			const headers = {'content-type': 'application/json', authorization: `Bearer ${token}`};
			const response = await fetch(`${system.daemon.addresses.callersUrl}${path}`, {method, headers, body: body === undefined ? undefined : JSON.stringify(body)});
			await response.text();
			return response.status;
		};

		const job = createJobBody(1, {id: 'job-3'});
		const statuses = [
			await send('POST', '/v1/jobs', 'wrong', job),
			await send('POST', '/v1/jobs', 'secret', job),
			await send('GET', '/v1/jobs/job-3', 'wrong'),
			await send('DELETE', '/v1/jobs/job-3', 'wrong'),
			await send('GET', '/v1/jobs/job-3', 'secret'),
		];
		await system.stop();
		assert.deepEqual(statuses, [401, 200, 401, 401, 200]);
		assert.equal(countStarts(system.servers), 1);
	});

	it('returns the winning change to the operator whose concurrent publish conflicts', async () => {
		const daemon = await startDaemon(readSettings('(none)', ''));
		const url = `${daemon.addresses.operatorsUrl}/v1/configuration`;
		const first = await sendJson('POST', url, {
			baseVersion: 0, publishId: 'a', author: 'anna', objects: testObjects,
		});
		const resent = await sendJson('POST', url, {
			baseVersion: 0, publishId: 'a', author: 'anna', objects: testObjects,
		});
		const second = await sendJson('POST', url, {
			baseVersion: 0, publishId: 'b', author: 'bela', objects: testObjects,
		});
		await daemon.stop();
		assert.deepEqual([first.status, first.body.version, resent.body.version], [200, 1, 1]);
		assert.equal(second.status, 409);
		assert.match(JSON.stringify(second.body.conflict), /"version":1,"author":"anna"/v);
	});
});
