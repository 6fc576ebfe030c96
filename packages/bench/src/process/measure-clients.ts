import {Agent, request as httpRequest} from 'node:http';
import process from 'node:process';
import got from 'got';
import {Pool} from 'undici';

/** The cost of one HTTP client on the task path. */
export type ClientCost = {
	client: 'got' | 'node-http' | 'undici-request' | 'undici-dispatch';
	/** The processor time of this process per request. */
	processorTimePerRequestMs: number;
};

type Send = (body: string) => Promise<void>;

const requestCount = 4000;
const warmUpCount = 500;
const concurrency = 32;
const microsecondsPerMillisecond = 1000;

/**
 * Measures the processor time that each HTTP client spends per task.
 * @param port - The port of a stand-in backend server.
 */
export async function measureClients(port: number): Promise<ClientCost[]> {
	const origin = `http://127.0.0.1:${port}`;
	const agent = new Agent({keepAlive: true, maxSockets: concurrency});
	const pool = new Pool(origin, {connections: concurrency, pipelining: 1});
	const clients: Array<{client: ClientCost['client']; send: Send}> = [
		{client: 'got', send: createGotSender(origin, agent)},
		{client: 'node-http', send: createHttpSender(port, agent)},
		{client: 'undici-request', send: createUndiciRequestSender(pool)},
		{client: 'undici-dispatch', send: createUndiciDispatchSender(pool)},
	];
	const costs: ClientCost[] = [];
	for (const {client, send} of clients) {
		// eslint-disable-next-line no-await-in-loop -- Clients are measured sequentially, so that they do not share processor time.
		await sendMany(send, warmUpCount);
		const before = process.cpuUsage();
		// eslint-disable-next-line no-await-in-loop -- Clients are measured sequentially, so that they do not share processor time.
		await sendMany(send, requestCount);
		const {user, system} = process.cpuUsage(before);
		costs.push({client, processorTimePerRequestMs: (user + system) / microsecondsPerMillisecond / requestCount});
	}

	agent.destroy();
	await pool.close();
	return costs;
}

async function sendMany(send: Send, count: number): Promise<void> {
	let next = 0;
	const runWorker = async () => {
		while (next < count) {
			const body = createBody(next++);
			// eslint-disable-next-line no-await-in-loop -- Each worker sends its requests sequentially.
			await send(body);
		}
	};

	await Promise.all(Array.from({length: concurrency}, runWorker));
}

function createBody(index: number): string {
	return JSON.stringify({
		lease: 'lease', deadlineMs: 1000, tasks: [{
			attempt: `a${index}`, job: 'job', index, service: 'quote', payload: {index},
		}],
	});
}

function createGotSender(origin: string, agent: Agent): Send {
	return async body => {
		await got.post(`${origin}/v1/tasks`, {
			body, agent: {http: agent}, retry: {limit: 0}, headers: {'content-type': 'application/json'},
		}).text();
	};
}

function createHttpSender(port: number, agent: Agent): Send {
	return async body => new Promise((resolve, reject) => {
		const request = httpRequest({
			host: '127.0.0.1', port, path: '/v1/tasks', method: 'POST', agent, headers: {'content-type': 'application/json'},
		}, response => {
			response.on('data', () => undefined);
			response.on('end', resolve);
		});
		request.on('error', reject);
		request.end(body);
	});
}

function createUndiciRequestSender(pool: Pool): Send {
	return async body => {
		const response = await pool.request({
			path: '/v1/tasks', method: 'POST', body, headers: {'content-type': 'application/json'},
		});
		await response.body.text();
	};
}

function createUndiciDispatchSender(pool: Pool): Send {
	return async body => new Promise((resolve, reject) => {
		pool.dispatch({
			path: '/v1/tasks', method: 'POST', body, headers: {'content-type': 'application/json'},
		}, {
			onRequestStart: () => undefined,
			onResponseStart: () => undefined,
			onResponseData: () => undefined,
			onResponseEnd() {
				resolve();
			},
			onResponseError(_controller, error) {
				reject(error);
			},
		});
	});
}
