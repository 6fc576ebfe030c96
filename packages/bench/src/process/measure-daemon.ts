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

/** What one daemon adds and bears. Each figure names its unit. */
export type DaemonFigures = {
	directP50Ms: number;
	directP99Ms: number;
	throughP50Ms: number;
	throughP99Ms: number;
	addedP50Ms: number;
	addedP99Ms: number;
	/** With an id of the caller's choosing, whose record is synced before the start. */
	addedWithSyncP50Ms: number;
	addedWithSyncP99Ms: number;
	jobTasksPerSecond: number;
	jobProcessorTimePerTaskMs: number;
	/** What one core of daemon would bear if it did nothing else. */
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

/** Reads what a daemon prints on its first line. */
export function parseAddresses(firstLine: unknown): DaemonAddresses {
	return addressesSchema.parse(firstLine);
}

/** Publishes the objects that the benchmark uses. */
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
		throw new Error(`the objects were refused: ${await response.text()}`);
	}
}

/**
 * Measures one daemon from outside.
 * @param addresses - Where it listens.
 * @param backendPort - Where one of its backend servers listens.
 */
export async function measureDaemon(addresses: DaemonAddresses, backendPort: number): Promise<DaemonFigures> {
	const callers = new Pool(addresses.callersUrl, {
		connections: 600, pipelining: 1, headersTimeout: 0, bodyTimeout: 0,
	});
	const backend = new Pool(`http://127.0.0.1:${backendPort}`, {connections: 1, pipelining: 1});
	const direct = await measureLatency(backend, '/v1/tasks', index => ({
		lease: 'l', deadlineMs: 1000, tasks: [{
			attempt: `a${index}`, job: 'j', index: 0, service: 'quote', payload: index,
		}],
	}));
	const before = await readStatus(addresses);
	const through = await measureLatency(callers, '/v1/requests', createRequest);
	const afterRequests = await readStatus(addresses);
	const withSync = await measureLatency(callers, '/v1/requests', createRequestWithId);
	const beforeJobs = await readStatus(addresses);
	const jobs = await measureJobs(callers);
	const afterJobs = await readStatus(addresses);
	const memoryPerConnectionBytes = await measureConnections(addresses, callers);
	const memoryPerQueuedTaskBytes = await measureQueuedTasks(addresses, callers);
	await callers.destroy();
	await backend.destroy();
	const requestMs = afterRequests.resources.processorTimeMs - before.resources.processorTimeMs;
	const jobMs = afterJobs.resources.processorTimeMs - beforeJobs.resources.processorTimeMs;
	const taskCount = jobCount * jobTaskCount;
	return {
		directP50Ms: getQuantile(direct, 0.5),
		directP99Ms: getQuantile(direct, 0.99),
		throughP50Ms: getQuantile(through, 0.5),
		throughP99Ms: getQuantile(through, 0.99),
		addedP50Ms: getQuantile(through, 0.5) - getQuantile(direct, 0.5),
		addedP99Ms: getQuantile(through, 0.99) - getQuantile(direct, 0.99),
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
		// eslint-disable-next-line no-await-in-loop -- One request at a time, to measure latency alone.
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
	const work = async () => {
		while (next < jobCount) {
			next++;
			// eslint-disable-next-line no-await-in-loop -- Each worker has one job open.
			const text = await post(pool, '/v1/jobs', createJob('quote', 0));
			if (!text.includes('"outcome":"complete"')) {
				throw new Error(`a job was not complete: ${text.slice(0, 300)}`);
			}
		}
	};

	await Promise.all(Array.from({length: jobConcurrency}, work));
	return {durationMs: performance.now() - startedAtMs};
}

async function measureQueuedTasks(addresses: DaemonAddresses, pool: Pool): Promise<number> {
	const before = await readStatus(addresses);
	const open = Array.from({length: queuedJobCount}, async () => post(pool, '/v1/jobs', createJob('quote', 1000)));
	let status = await readStatus(addresses);
	const expected = (queuedJobCount * jobTaskCount) / 2;
	for (let round = 0; round < 100 && status.dispatcher.queuedTasks < expected; round++) {
		// eslint-disable-next-line no-await-in-loop -- Each round looks again.
		status = await readStatus(addresses);
	}

	const perTask = (status.resources.memoryBytes - before.resources.memoryBytes) / status.dispatcher.queuedTasks;
	for (const request of open) {
		request.catch(() => undefined);
	}

	return perTask;
}

async function measureConnections(addresses: DaemonAddresses, pool: Pool): Promise<number> {
	const before = await readStatus(addresses);
	const jobId = `bench-${Math.round(performance.now())}`;
	const waits = Array.from({length: connectionCount}, async () => post(pool, '/v1/jobs', {...createJob('quote', 1500, 1), id: jobId}));
	await new Promise(resolve => {
		setTimeout(resolve, millisecondsPerSecond);
	});
	const during = await readStatus(addresses);
	await Promise.all(waits);
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
