import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {RecordingEventLog, RecordingMetricSink} from '@camphortack/testkit';
import {
	closeAfterResponse, createLimitLog, createMemoryBudget, createRequestGuard, readBody, requestOverheadBytes, reserveResponse, SystemTimers, type MemoryBudget,
} from '../../src/index.js';

const maxBodyBytes = 100_000;
const memoryBytes = 300_000;
/** More than the buffers of a connection hold. */
const largeResponse = 'a'.repeat(20_000_000);
const largeMemoryBytes = 30_000_000;

/** A server that responds to a POST with the size of its body, and to a GET with a large response, or never if its path is `/wait`. */
describe('createRequestGuard', () => {
	let server: Server;
	let memory: MemoryBudget;
	let metrics: RecordingMetricSink;
	const sockets: Socket[] = [];

	beforeEach(async () => {
		await startServer(memoryBytes);
	});

	async function startServer(maxBytes: number): Promise<void> {
		const timers = new SystemTimers();
		metrics = new RecordingMetricSink();
		memory = createMemoryBudget({maxBytes, timers});
		server = createServer((request, response) => {
			void handleRequest(request, response);
		});
		const guard = createRequestGuard(server, {
			maxConnections: 20, memory, timers, limitLog: createLimitLog({timers, events: new RecordingEventLog(), metrics}),
		});

		async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
			const admission = guard.admit(request, response);
			const body = admission === 'admitted' && request.method === 'POST' ? await readBody(request, maxBodyBytes) : undefined;
			if (admission === 'refused' || body?.outcome === 'no-memory') {
				closeAfterResponse(response);
				response.writeHead(503).end();
			} else if (body?.outcome === 'too-large') {
				closeAfterResponse(response);
				response.writeHead(413).end();
			} else if (body?.outcome === 'read') {
				response.end(String(body.bytes.length));
			} else if (admission === 'admitted' && request.url !== '/wait' && reserveResponse(response, largeResponse.length)) {
				response.end(largeResponse);
			}
		}

		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	}

	async function stopServer(): Promise<void> {
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		server.closeAllConnections();
		server.close();
		await once(server, 'close');
	}

	afterEach(stopServer);

	async function open(text: string): Promise<Socket> {
		const {port} = server.address() as AddressInfo; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- It listens on TCP.
		const socket = connect(port, '127.0.0.1');
		sockets.push(socket);
		socket.on('error', () => {
			// A connection that is closed early may be reset.
		});
		await once(socket, 'connect');
		socket.write(text);
		return socket;
	}

	/** Reads until the connection is closed, and gets the status line of each response. */
	async function readStatuses(socket: Socket): Promise<string[]> {
		const chunks: Uint8Array[] = [];
		socket.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		await once(socket, 'close');
		return [...Buffer.concat(chunks).toString().matchAll(/HTTP\/1\.1 (?<status>\d{3})/gv)].map(match => match.groups!.status!);
	}

	function getPost(sizeBytes: number, sentBytes = sizeBytes, headers = ''): string {
		return `POST / HTTP/1.1\r\nhost: a\r\n${headers}content-length: ${sizeBytes}\r\n\r\n${'a'.repeat(sentBytes)}`;
	}

	async function waitFor(isMet: () => boolean): Promise<void> {
		while (!isMet()) {
			// eslint-disable-next-line no-await-in-loop -- Polls until the condition is met.
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		}
	}

	it('refuses the bodies that never end, in favour of one that does', async () => {
		const held = await Promise.all(Array.from({length: 6}, async () => open(getPost(90_000, 89_000))));
		const heldStatuses = held.map(async socket => readStatuses(socket));
		const answered = await readStatuses(await open(getPost(90_000, 90_000, 'connection: close\r\n')));
		assert.deepEqual(answered, ['200']);
		const [first] = await Promise.race(heldStatuses);
		assert.equal(first, '503');
		assert.ok(metrics.getCount('limit-unfinished-bodies') > 0);
		assert.ok(memory.getUsedBytes() <= memoryBytes);
	});

	// Guards against a crowd that holds all connections with bodies that never end.
	it('accepts a connection while all others hold bodies that never end', async () => {
		await Promise.all(Array.from({length: 20}, async () => open(getPost(100, 1))));
		await waitFor(() => memory.getUsedBytes() >= 20 * requestOverheadBytes);
		assert.deepEqual(await readStatuses(await open(getPost(5, 5, 'connection: close\r\n'))), ['200']);
	});

	it('responds at once to a body that is too large, and closes the connection', async () => {
		assert.deepEqual(await readStatuses(await open(getPost(maxBodyBytes + 1, 10))), ['413']);
	});

	it('frees the memory of requests whose response was sent', async () => {
		assert.deepEqual(await readStatuses(await open(getPost(5000, 5000, 'connection: close\r\n'))), ['200']);
		await waitFor(() => memory.getUsedBytes() === 0);
	});

	// Guards against requests of one connection that are all kept until the first one is answered.
	it('closes a connection with too many open requests', async () => {
		const socket = await open('GET /wait HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(17));
		assert.deepEqual(await readStatuses(socket), []);
		await waitFor(() => memory.getUsedBytes() === 0);
	});

	// Guards against requests that were read together, of which each is created although the connection is closed after the first ones.
	it('creates no further requests of a connection that it closes', async () => {
		let requestCount = 0;
		server.on('request', () => {
			requestCount++;
		});
		await readStatuses(await open('GET /wait HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(500)));
		assert.equal(requestCount, 17);
	});

	it('refuses requests while as many are open as there is memory for', async () => {
		// One with one header takes 128 bytes more.
		const openCount = 36;
		assert.equal(openCount, Math.floor(memoryBytes / (requestOverheadBytes + 128)));
		const waiting = await Promise.all(Array.from({length: 3}, async () => open('GET /wait HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(openCount / 3))));
		await waitFor(() => memory.getUsedBytes() >= openCount * requestOverheadBytes);
		assert.deepEqual(await readStatuses(await open(getPost(5))), ['503']);
		for (const socket of waiting) {
			socket.destroy();
		}

		await waitFor(() => memory.getUsedBytes() === 0);
		assert.deepEqual(await readStatuses(await open(getPost(5, 5, 'connection: close\r\n'))), ['200']);
	});

	it('closes a connection that does not read its response when the memory is needed', async () => {
		await stopServer();
		await startServer(largeMemoryBytes);
		const idle = await open('');
		idle.pause();
		idle.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
		await waitFor(() => memory.getUsedBytes() > largeResponse.length);
		const second = await open('GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n');
		assert.deepEqual(await readStatuses(second), ['200']);
		assert.equal(metrics.getCount('limit-unread-responses'), 1);
	});
});
