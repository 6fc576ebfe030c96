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
	/** Where to announce; without it the server announces nothing by itself. */
	announceUrl?: string;
	/** How long a task runs; a payload's `runTimeMs` goes before it. */
	runTimeMs?: number;
	/** Called for each started task; its result is the answer. By default the payload is returned. */
	run?: (task: TaskStart) => TaskAnswer | Promise<TaskAnswer>;
	/** Ends the connection after a batch was read, without an answer. */
	shouldCutConnection?: (batch: TaskStartBatch) => boolean;
};

/** A backend server for tests, benchmarks and the demo. It keeps a ledger of every start. */
export type StandInBackendServer = {
	readonly announcement: BackendServerAnnouncement;
	/** The number of starts of each task, by `job/index`. */
	readonly starts: ReadonlyMap<string, number>;
	/** The most tasks that ran at once. */
	getPeakRunningCount(): number;
	/** The number of requests on the task path. */
	getRequestCount(): number;
	getConnectionCount(): Promise<number>;
	announce(): Promise<void>;
	announceLeave(): Promise<void>;
	close(): Promise<void>;
};

const announcementIntervalMs = 5000;
const keepAliveTimeoutMs = 60_000;

/**
 * Starts a stand-in on a free loopback port.
 * @param options - What it serves and how it behaves.
 *
 * @example
 * ```ts
 * const server = await createStandInBackendServer({id: 'bench-1', services: ['polish-quote'], announceUrl});
 * ```
 */
export async function createStandInBackendServer(options: StandInBackendServerOptions): Promise<StandInBackendServer> {
	const starts = new Map<string, number>();
	const stopped = new Set<string>();
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
		if (stopped.delete(task.attempt)) {
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
				stopped.add(attempt);
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
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- A listening TCP server has such an address.
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
			throw new Error(`the announcement was refused: ${await response.text()}`);
		}
	};

	const announce = async () => post('/v1/backend-servers', announcement);
	const renewal = setInterval(() => {
		announce().catch(() => {
			// The next interval tries again.
		});
	}, announcementIntervalMs);
	renewal.unref();

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
			clearInterval(renewal);
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
	const asked = typeof payload === 'object' && payload !== null && !Array.isArray(payload) ? payload.runTimeMs : undefined;
	const runTimeMs = typeof asked === 'number' ? asked : defaultRunTimeMs;
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
