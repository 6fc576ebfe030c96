import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	taskStartBatchSchema, taskStopSchema, type BackendServerAnnouncement, type TaskAnswer, type TaskStart, type TaskStartBatch,
} from '@camphortack/core';

export type StandInBackendServerOptions = {
	id: string;
	services: string[];
	slots?: number;
	availabilityZone?: string;
	rack?: string;
	/** The URL to send announcements to. If it is absent, the server sends none. */
	announceUrl?: string;
	/** The default run time of a task, which `runTimeMs` in the payload overrides. */
	runTimeMs?: number;
	/** Computes the response to a task once its run time has passed. By default, the payload is returned as the result. */
	run?: (task: TaskStart) => TaskAnswer | Promise<TaskAnswer>;
	/** Whether to close the connection without a response once a batch was read. The tasks still run. */
	shouldCutConnection?: (batch: TaskStartBatch) => boolean;
};

/** A simulated backend server for tests, benchmarks and the demo. It counts the starts of each task. */
export type StandInBackendServer = {
	readonly announcement: BackendServerAnnouncement;
	/** The number of starts of each task, keyed by `job/index`. */
	readonly starts: ReadonlyMap<string, number>;
	/** Gets the maximum number of tasks that ran concurrently. */
	getPeakRunningCount(): number;
	/** Gets the number of requests that start tasks. */
	getRequestCount(): number;
	getConnectionCount(): Promise<number>;
	announce(): Promise<void>;
	announceLeave(): Promise<void>;
	close(): Promise<void>;
};

const announcementIntervalMs = 5000;
const keepAliveTimeoutMs = 60_000;

/**
 * Starts a simulated backend server on a free loopback port.
 * @param options - The services, the capacity and the simulated behaviour.
 *
 * @example
 * ```ts
 * const server = await createStandInBackendServer({id: 'bench-1', services: ['polish-quote'], announceUrl});
 * ```
 */
export async function createStandInBackendServer(options: StandInBackendServerOptions): Promise<StandInBackendServer> {
	const starts = new Map<string, number>();
	const stoppedAttempts = new Set<string>();
	let runningCount = 0;
	let peakRunningCount = 0;
	let requestCount = 0;

	const runTask = async (task: TaskStart): Promise<TaskAnswer> => {
		const key = `${task.job}/${task.index}`;
		starts.set(key, (starts.get(key) ?? 0) + 1);
		runningCount++;
		peakRunningCount = Math.max(peakRunningCount, runningCount);
		await waitForRunTime(task, options.runTimeMs ?? 0);
		runningCount--;
		if (stoppedAttempts.delete(task.attempt)) {
			return {attempt: task.attempt, state: 'error', message: 'stopped'};
		}

		return options.run?.(task) ?? {attempt: task.attempt, state: 'done', result: task.payload};
	};

	const runBatch = async (batch: TaskStartBatch, response: ServerResponse) => {
		response.writeHead(200, {'content-type': 'application/x-ndjson'});
		const runs = batch.tasks.map(async task => {
			const answer = await runTask(task);
			response.write(`${JSON.stringify(answer)}\n`);
		});
		await Promise.all(runs);
		response.end();
	};

	const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
		const body = await readBody(request);
		if (request.url === '/v1/tasks/stop') {
			for (const attempt of taskStopSchema.parse(body).attempts) {
				stoppedAttempts.add(attempt);
			}

			response.writeHead(204).end();
			return;
		}

		requestCount++;
		const batch = taskStartBatchSchema.parse(body);
		if (options.shouldCutConnection?.(batch)) {
			for (const task of batch.tasks) {
				void runTask(task);
			}

			request.socket.destroy();
			return;
		}

		await runBatch(batch, response);
	};

	const server = createServer({keepAliveTimeout: keepAliveTimeoutMs}, (request, response) => {
		void handleRequest(request, response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The address of a listening TCP server is an AddressInfo.
	const {port} = server.address() as AddressInfo;
	const announcement: BackendServerAnnouncement = {
		id: options.id,
		incarnation: `${options.id}-${port}`,
		host: '127.0.0.1',
		port,
		availabilityZone: options.availabilityZone ?? 'local',
		rack: options.rack,
		slots: options.slots ?? 8,
		connectionLimit: 60,
		processors: 8,
		memoryMegabytes: 16_384,
		accelerators: 0,
		services: options.services,
		timeToLiveMs: 15_000,
	};

	const post = async (path: string, body: unknown) => {
		if (options.announceUrl === undefined) {
			return;
		}

		const response = await fetch(`${options.announceUrl}${path}`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(body),
		});
		if (!response.ok) {
			throw new Error(`the daemon rejected the announcement: ${await response.text()}`);
		}
	};

	const announce = async () => post('/v1/backend-servers', announcement);
	const announcementTimer = setInterval(() => {
		announce().catch(() => {
			// The announcement is repeated after the next interval.
		});
	}, announcementIntervalMs);
	announcementTimer.unref();

	return {
		announcement,
		starts,
		getPeakRunningCount: () => peakRunningCount,
		getRequestCount: () => requestCount,
		getConnectionCount: async () => new Promise((resolve, reject) => {
			server.getConnections((error, count) => {
				if (error === null) {
					resolve(count);
				} else {
					reject(error);
				}
			});
		}),
		announce,
		announceLeave: async () => post(`/v1/backend-servers/${options.id}/farewell`, {incarnation: announcement.incarnation}),
		async close() {
			clearInterval(announcementTimer);
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}

async function waitForRunTime(task: TaskStart, defaultRunTimeMs: number): Promise<void> {
	const {payload} = task;
	const requestedRunTimeMs = typeof payload === 'object' && payload !== null && !Array.isArray(payload) ? payload.runTimeMs : undefined;
	const runTimeMs = typeof requestedRunTimeMs === 'number' ? requestedRunTimeMs : defaultRunTimeMs;
	if (runTimeMs <= 0) {
		return;
	}

	await new Promise<void>(resolve => {
		setTimeout(resolve, runTimeMs);
	});
}

async function readBody(request: IncomingMessage): Promise<unknown> {
	request.setEncoding('utf8');
	let text = '';
	for await (const chunk of request) {
		text += String(chunk);
	}

	return JSON.parse(text);
}
