import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import {json} from 'node:stream/consumers';
import {describe, it} from 'node:test';
import {taskStartBatchSchema} from '@camphortack/core';
import {
	countStarts, createJobBody, sendJson, startTestSystem, type TestSystem,
} from '../support/test-system.js';

const oddHosts = ['[::1', '[::1]', 'a b', ' ', '10.0.0.1/x', '10.0.0.1:80', '%zz', '#', 'a?b', 'user@host', 'x:y', '\0', String.raw`a\b`];

async function announce({daemon}: TestSystem, other: Record<string, unknown>): Promise<number> {
	const {status} = await sendJson('POST', `${daemon.addresses.backendServersUrl}/v1/backend-servers`, {
		id: 'odd', incarnation: 'one', host: '127.0.0.1', port: 1, availabilityZone: 'zone-1', slots: 4, services: ['quote'], ...other,
	});
	return status;
}

/** Starts a backend server that answers each task with a result of 100,000 levels, and returns its port. */
async function startDeepServer(): Promise<{server: Server; port: number}> {
	const levels = 100_000;
	const server = createServer((request, response) => {
		void (async () => {
			const {tasks} = taskStartBatchSchema.parse(await json(request));
			response.end(tasks.map(({attempt}) => `{"attempt":"${attempt}","state":"done","result":${'['.repeat(levels)}${']'.repeat(levels)}}\n`).join(''));
		})();
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	return {server, port: typeof address === 'object' && address !== null ? address.port : 0};
}

describe('an odd entry among the backend servers', () => {
	// Guards against jobs that end without an answer because a backend server announced a host that no URL can hold.
	it('refuses a host that no URL can hold, and runs all jobs on the other backend servers', async () => {
		const system = await startTestSystem([{}]);
		const statuses: number[] = [];
		for (const [index, host] of oddHosts.entries()) {
			// eslint-disable-next-line no-await-in-loop -- One announcement after the other.
			statuses.push(await announce(system, {id: `odd-${index}`, host}));
		}

		const answers = await Promise.all(Array.from({length: 20}, async () => system.call('POST', '/v1/jobs', createJobBody(2))));
		await system.stop();
		assert.deepEqual(statuses, oddHosts.map(() => 400));
		assert.deepEqual(answers.map(({status}) => status), answers.map(() => 200));
		assert.equal(countStarts(system.servers), 40);
	});

	// Guards against a backend server that is replaced by an odd entry with its id.
	it('keeps a backend server in use whose id an odd entry carries', async () => {
		const system = await startTestSystem([{}]);
		const statuses = [await announce(system, {id: 'backend-0', host: 'a b'}), await announce(system, {id: 'backend-0', port: 65_536})];
		const {status} = await system.call('POST', '/v1/jobs', createJobBody(2));
		await system.stop();
		assert.deepEqual([...statuses, status], [400, 400, 200]);
	});

	// Guards against jobs that never get an answer because of a result that can't be encoded.
	it('ends a job whose result is nested too deeply, and the one after it', async () => {
		const system = await startTestSystem([]);
		const {server, port} = await startDeepServer();
		await announce(system, {port});
		const answers = [await system.call('POST', '/v1/jobs', createJobBody(1)), await system.call('POST', '/v1/jobs', createJobBody(1))];
		await system.stop();
		server.close();
		assert.deepEqual(answers.map(({status, body}) => [status, body.outcome, body.reason]), answers.map(() => [500, 'failed', 'task-error']));
	});

	// Guards against a backend server that is hidden by another writer, which announces another incarnation under its id.
	it('runs jobs on a backend server under whose id a second writer announced another incarnation', async () => {
		const system = await startTestSystem([{}]);
		await announce(system, {id: 'backend-0', incarnation: 'other'});
		await system.servers[0]!.announce();
		const {status} = await system.call('POST', '/v1/jobs', createJobBody(2, {deadlineMs: 2000}));
		await system.stop();
		assert.equal(status, 200);
	});
});
