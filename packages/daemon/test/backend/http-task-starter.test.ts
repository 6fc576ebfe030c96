import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:net';
import {after, describe, it} from 'node:test';
import type {BackendServerAnnouncement, TaskStartBatch} from '@camphortack/core';
import type {TaskEvent} from '@camphortack/dispatch';
import {createStandInBackendServer, RecordingEventLog} from '@camphortack/testkit';
import {HttpTaskStarter} from '../../src/backend/http-task-starter.js';

type StarterRun = {events: TaskEvent[]; starter: HttpTaskStarter};

function createBatch(attempts: string[]): TaskStartBatch {
	return {
		lease: 'lease-1',
		deadlineMs: 5000,
		tasks: attempts.map((attempt, index) => ({
			attempt, job: 'job-1', index, service: 'quote', payload: {index},
		})),
	};
}

async function startAndCollect(server: BackendServerAnnouncement, attempts: string[]): Promise<StarterRun> {
	const events: TaskEvent[] = [];
	return new Promise(resolve => {
		const starter = new HttpTaskStarter(event => {
			events.push(event);
			const endedCount = events.reduce((sum, ended) => sum + (ended.kind === 'answer' ? 1 : ended.attempts.length), 0);
			if (endedCount === attempts.length) {
				resolve({events, starter});
			}
		}, new RecordingEventLog());
		starter.start(server, createBatch(attempts));
	});
}

async function startTcpServer(onConnection: Parameters<typeof createServer>[1]): Promise<{server: Server; port: number}> {
	const server = createServer({}, onConnection);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	return {server, port: typeof address === 'object' && address !== null ? address.port : 0};
}

describe('HttpTaskStarter', () => {
	const closeCallbacks: Array<() => unknown> = [];
	after(async () => {
		for (const close of closeCallbacks) {
			// eslint-disable-next-line no-await-in-loop -- Closes one server after the other.
			await close();
		}
	});

	it('sends a batch in one request and reports one answer for each task', async () => {
		const backend = await createStandInBackendServer({id: 'a', services: ['quote']});
		const {events, starter} = await startAndCollect(backend.announcement, ['x', 'y', 'z']);
		closeCallbacks.push(async () => starter.destroy(), backend.close);
		const answers = events.map(event => event.kind === 'answer' && event.answer.state);
		assert.deepEqual(answers, ['done', 'done', 'done']);
		assert.equal(backend.getRequestCount(), 1);
	});

	it('reports connection-lost if the connection is cut after the request was written, and does not retry', async () => {
		const backend = await createStandInBackendServer({id: 'a', services: ['quote'], shouldCutConnection: () => true});
		const {events, starter} = await startAndCollect(backend.announcement, ['x', 'y']);
		closeCallbacks.push(async () => starter.destroy(), backend.close);
		assert.deepEqual(events, [{kind: 'connection-lost', backendServerId: 'a', attempts: ['x', 'y']}]);
		await backend.announce();
		assert.deepEqual([...backend.starts.values()], [1, 1]);
	});

	it('does not retry if an idle connection is cut while the next request is written', async () => {
		let requestCount = 0;
		const {server, port} = await startTcpServer(socket => {
			socket.on('data', () => {
				requestCount++;
				if (requestCount === 1) {
					const line = '{"attempt":"x","state":"done","result":1}\n';
					socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${line.length}\r\n\r\n${line}`);
				} else {
					socket.resetAndDestroy();
				}
			});
		});
		const backend = await createStandInBackendServer({id: 'a', services: ['quote']});
		closeCallbacks.push(backend.close, () => server.close());
		const announcement = {...backend.announcement, port, connectionLimit: 1};
		const events: TaskEvent[] = [];
		const starter = await new Promise<HttpTaskStarter>(resolve => {
			const client = new HttpTaskStarter(event => {
				events.push(event);
				if (events.length === 1) {
					client.start(announcement, createBatch(['y']));
				} else {
					resolve(client);
				}
			}, new RecordingEventLog());
			client.start(announcement, createBatch(['x']));
		});
		closeCallbacks.push(async () => starter.destroy());
		assert.deepEqual(events[1], {kind: 'connection-lost', backendServerId: 'a', attempts: ['y']});
		assert.equal(requestCount, 2);
	});

	it('reports connect-refused, which means that no task started, if the connection is refused', async () => {
		const {server, port} = await startTcpServer(() => undefined);
		await new Promise(resolve => {
			server.close(resolve);
		});
		const backend = await createStandInBackendServer({id: 'a', services: ['quote']});
		const {events, starter} = await startAndCollect({...backend.announcement, port}, ['x']);
		closeCallbacks.push(async () => starter.destroy(), backend.close);
		assert.deepEqual(events, [{kind: 'connect-refused', backendServerId: 'a', attempts: ['x']}]);
	});

	// Guards against a daemon that ends, or a job without an answer, because of an odd entry that another daemon passed on.
	it('reports connect-refused, and throws nothing, if no URL can hold the host', async () => {
		const backend = await createStandInBackendServer({id: 'a', services: ['quote']});
		const {events, starter} = await startAndCollect({...backend.announcement, host: '[::1'}, ['x', 'y']);
		starter.stop({...backend.announcement, host: '[::1'}, ['x']);
		closeCallbacks.push(async () => starter.destroy(), backend.close);
		assert.deepEqual(events, [{kind: 'connect-refused', backendServerId: 'a', attempts: ['x', 'y']}]);
	});

	// Guards against jobs without an answer, whose results can't be encoded for the caller, the keepers or another daemon.
	it('reports a result that is nested too deeply as an error of its task, and the other results as they are', async () => {
		const nest = (levels: number) => `${'['.repeat(levels)}${']'.repeat(levels)}`;
		const results = [nest(100_000), nest(501), nest(500), '"[[["', '1'];
		const body = results.map((result, index) => `{"attempt":"${index}","state":"done","result":${result}}\n`).join('');
		const {server, port} = await startTcpServer(socket => {
			socket.on('data', () => {
				socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`);
			});
		});
		const backend = await createStandInBackendServer({id: 'a', services: ['quote']});
		closeCallbacks.push(backend.close, () => server.close());
		const {events, starter} = await startAndCollect({...backend.announcement, port}, results.map((_, index) => String(index)));
		closeCallbacks.push(async () => starter.destroy());
		const tooDeep = 'the result is nested deeper than 500 levels';
		assert.deepEqual(events.map(event => event.kind === 'answer' && (event.answer.state === 'error' ? event.answer.message : event.answer.state)), [tooDeep, tooDeep, 'done', 'done', 'done']);
	});

	const responses: Array<{name: string; head: string; body: string; expected: Array<TaskEvent['kind'] | 'not-run'>}> = [
		{
			name: 'an explicit refusal as not run',
			head: 'HTTP/1.1 503 Busy\r\ncamphortack-not-run: true',
			body: '',
			expected: ['not-run'],
		},
		{
			name: 'another status as lost',
			head: 'HTTP/1.1 503 Busy',
			body: '',
			expected: ['connection-lost'],
		},
		{
			name: 'an answer that is not JSON as lost',
			head: 'HTTP/1.1 200 OK',
			body: 'no json\n',
			expected: ['connection-lost'],
		},
		{
			name: 'an answer for another attempt, then its own as lost',
			head: 'HTTP/1.1 200 OK',
			body: '{"attempt":"other","state":"done","result":1}\n',
			expected: ['answer', 'connection-lost'],
		},
	];
	for (const {name, head, body, expected} of responses) {
		it(`reports ${name}`, async () => {
			const {server, port} = await startTcpServer(socket => {
				socket.on('data', () => {
					socket.end(`${head}\r\nContent-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`);
				});
			});
			const backend = await createStandInBackendServer({id: 'a', services: ['quote']});
			closeCallbacks.push(backend.close, () => server.close());
			const kinds: string[] = [];
			const starter = await new Promise<HttpTaskStarter>(resolve => {
				const client = new HttpTaskStarter(event => {
					kinds.push(event.kind === 'answer' && event.answer.state === 'not-run' ? 'not-run' : event.kind);
					if (kinds.length === expected.length) {
						resolve(client);
					}
				}, new RecordingEventLog());
				client.start({...backend.announcement, port}, createBatch(['x']));
			});
			closeCallbacks.push(async () => starter.destroy());
			assert.deepEqual(kinds, expected);
		});
	}
});
