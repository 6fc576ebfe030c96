import {configurationObjectsSchema} from '@camphortack/configuration';
import {Pool} from 'undici';
import {z} from 'zod';
import {getQuantile} from './get-quantile.js';

const addressesSchema = z.object({
	callersUrl: z.string(),
	backendServersUrl: z.string(),
	operatorsUrl: z.string(),
});

const statusSchema = z.object({
	resources: z.object({processorTimeMs: z.number(), memoryBytes: z.number()}),
	dispatcher: z.object({queuedTasks: z.number()}),
});

export type DaemonAddresses = z.infer<typeof addressesSchema>;

/** The overhead and the capacity of one daemon. Each field name contains its unit. */
export type DaemonFigures = {
	directP50Ms: number;
	directP99Ms: number;
	throughP50Ms: number;
	throughP99Ms: number;
	addedP50Ms: number;
	addedP99Ms: number;
	/** For requests with an id chosen by the caller, whose record is synced to disk before the task starts. */
	addedWithSyncP50Ms: number;
	addedWithSyncP99Ms: number;
	jobTasksPerSecond: number;
	jobProcessorTimePerTaskMs: number;
	/** The throughput of one core that is fully used by the daemon. */
	jobTasksPerProcessorSecond: number;
	requestProcessorTimeMs: number;
	memoryPerQueuedTaskBytes: number;
	memoryPerConnectionBytes: number;
};

const latencySampleCount = 1500;
const latencyWarmUpCount = 300;
const jobTaskCount = 150;
const jobCount = 160;
const jobConcurrency = 8;
const queuedJobCount = 60;
const connectionCount = 500;
const millisecondsPerSecond = 1000;

/** Parses the addresses that a daemon prints on its first line of output. */
export function parseAddresses(firstLine: unknown): DaemonAddresses {
	return addressesSchema.parse(firstLine);
}

/** Publishes the configuration objects that the benchmark uses. */
export async function publishBenchObjects(addresses: DaemonAddresses): Promise<void> {
	const objects = configurationObjectsSchema.parse({
		pools: {walnut: {}},
		services: {quote: {pool: 'walnut', declaredRunTimeMs: 1}, slow: {pool: 'walnut', declaredRunTimeMs: 1, mostQueuedTasks: 100_000}},
		customers: {workshop: {}},
	});
	const response = await fetch(`${addresses.operatorsUrl}/v1/configuration`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			baseVersion: 0, publishId: 'bench', author: 'bench', objects,
		}),
	});
	if (!response.ok) {
		throw new Error(`daemon rejected the benchmark configuration: ${await response.text()}`);
	}
}

/**
 * Measures one daemon through its public interfaces.
 * @param addresses - The addresses of the daemon.
 * @param backendPort - The port of one of its backend servers.
 */
export async function measureDaemon(addresses: DaemonAddresses, backendPort: number): Promise<DaemonFigures> {
	const callerPool = new Pool(addresses.callersUrl, {
		connections: 600, pipelining: 1, headersTimeout: 0, bodyTimeout: 0,
	});
	const backendPool = new Pool(`http://127.0.0.1:${backendPort}`, {connections: 1, pipelining: 1});
	const direct = await measureLatency(backendPool, '/v1/tasks', index => ({
		lease: 'l', deadlineMs: 1000, tasks: [{
			attempt: `a${index}`, job: 'j', index: 0, service: 'quote', payload: index,
		}],
	}));
	const before = await readStatus(addresses);
	const throughDaemon = await measureLatency(callerPool, '/v1/requests', createRequest);
	const afterRequests = await readStatus(addresses);
	const withSync = await measureLatency(callerPool, '/v1/requests', createRequestWithId);
	const beforeJobs = await readStatus(addresses);
	const jobs = await measureJobs(callerPool);
	const afterJobs = await readStatus(addresses);
	const memoryPerConnectionBytes = await measureConnections(addresses, callerPool);
	const memoryPerQueuedTaskBytes = await measureQueuedTasks(addresses, callerPool);
	await callerPool.destroy();
	await backendPool.destroy();
	const requestMs = afterRequests.resources.processorTimeMs - before.resources.processorTimeMs;
	const jobMs = afterJobs.resources.processorTimeMs - beforeJobs.resources.processorTimeMs;
	const taskCount = jobCount * jobTaskCount;
	return {
		directP50Ms: getQuantile(direct, 0.5),
		directP99Ms: getQuantile(direct, 0.99),
		throughP50Ms: getQuantile(throughDaemon, 0.5),
		throughP99Ms: getQuantile(throughDaemon, 0.99),
		addedP50Ms: getQuantile(throughDaemon, 0.5) - getQuantile(direct, 0.5),
		addedP99Ms: getQuantile(throughDaemon, 0.99) - getQuantile(direct, 0.99),
		addedWithSyncP50Ms: getQuantile(withSync, 0.5) - getQuantile(direct, 0.5),
		addedWithSyncP99Ms: getQuantile(withSync, 0.99) - getQuantile(direct, 0.99),
		jobTasksPerSecond: taskCount / (jobs.durationMs / millisecondsPerSecond),
		jobProcessorTimePerTaskMs: jobMs / taskCount,
		jobTasksPerProcessorSecond: taskCount / (jobMs / millisecondsPerSecond),
		requestProcessorTimeMs: requestMs / (latencySampleCount + latencyWarmUpCount),
		memoryPerQueuedTaskBytes,
		memoryPerConnectionBytes,
	};
}

async function measureLatency(pool: Pool, path: string, createBody: (index: number) => unknown): Promise<number[]> {
	const samples: number[] = [];
	for (let index = 0; index < latencySampleCount + latencyWarmUpCount; index++) {
		const startedAtMs = performance.now();
		// eslint-disable-next-line no-await-in-loop -- Requests are sent sequentially, to measure latency alone.
		await post(pool, path, createBody(index));
		if (index >= latencyWarmUpCount) {
			samples.push(performance.now() - startedAtMs);
		}
	}

	return samples;
}

async function measureJobs(pool: Pool): Promise<{durationMs: number}> {
	const startedAtMs = performance.now();
	let next = 0;
	const runWorker = async () => {
		while (next < jobCount) {
			next++;
			// eslint-disable-next-line no-await-in-loop -- Each worker has one open job at a time.
			const text = await post(pool, '/v1/jobs', createJob('quote', 0));
			if (!text.includes('"outcome":"complete"')) {
				throw new Error(`job did not complete: ${text.slice(0, 300)}`);
			}
		}
	};

	await Promise.all(Array.from({length: jobConcurrency}, runWorker));
	return {durationMs: performance.now() - startedAtMs};
}

async function measureQueuedTasks(addresses: DaemonAddresses, pool: Pool): Promise<number> {
	const before = await readStatus(addresses);
	const openRequests = Array.from({length: queuedJobCount}, async () => post(pool, '/v1/jobs', createJob('quote', 1000)));
	let status = await readStatus(addresses);
	const expected = (queuedJobCount * jobTaskCount) / 2;
	for (let round = 0; round < 100 && status.dispatcher.queuedTasks < expected; round++) {
		// eslint-disable-next-line no-await-in-loop -- Polls the status until enough tasks are queued.
		status = await readStatus(addresses);
	}

	const perTask = (status.resources.memoryBytes - before.resources.memoryBytes) / status.dispatcher.queuedTasks;
	for (const request of openRequests) {
		request.catch(() => undefined);
	}

	return perTask;
}

async function measureConnections(addresses: DaemonAddresses, pool: Pool): Promise<number> {
	const before = await readStatus(addresses);
	const jobId = `bench-${Math.round(performance.now())}`;
	const waitingRequests = Array.from({length: connectionCount}, async () => post(pool, '/v1/jobs', {...createJob('quote', 1500, 1), id: jobId}));
	await new Promise(resolve => {
		setTimeout(resolve, millisecondsPerSecond);
	});
	const during = await readStatus(addresses);
	await Promise.all(waitingRequests);
	return (during.resources.memoryBytes - before.resources.memoryBytes) / connectionCount;
}

function createRequestWithId(index: number): Record<string, unknown> {
	return {...createRequest(index), id: `chosen-${index}`};
}

function createRequest(index: number): Record<string, unknown> {
	return {
		customer: 'workshop', service: 'quote', deadlineMs: 60_000, payload: index,
	};
}

function createJob(service: string, runTimeMs: number, taskCount = jobTaskCount): Record<string, unknown> {
	return {
		customer: 'workshop',
		service,
		deadlineMs: 60_000,
		tasks: Array.from({length: taskCount}, (_, index) => ({payload: {index, runTimeMs}})),
	};
}

async function post(pool: Pool, path: string, body: unknown): Promise<string> {
	const response = await pool.request({
		path, method: 'POST', body: JSON.stringify(body), headers: {'content-type': 'application/json'},
	});
	return response.body.text();
}

async function readStatus(addresses: DaemonAddresses): Promise<z.infer<typeof statusSchema>> {
	const response = await fetch(`${addresses.operatorsUrl}/v1/status`);
	return statusSchema.parse(await response.json());
}
