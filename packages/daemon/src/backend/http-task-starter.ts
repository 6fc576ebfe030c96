import {Pool, type Dispatcher as HttpDispatcher} from 'undici';
import {taskAnswerSchema, type BackendServerAnnouncement, type TaskStartBatch} from '@camphortack/core';
import {TaskStarter, type TaskEvent} from '@camphortack/dispatch';
import {createLineSplitter} from './create-line-splitter.js';

/** The header by which a backend server says that it started nothing of a batch. */
export const notRunHeader = 'camphortack-not-run';

const connectTimeoutMs = 1000;
/** Shorter than a server's usual keep-alive, so that the server rarely closes a connection that is being written to. */
const keepAliveTimeoutMs = 4000;
const answerGraceMs = 30_000;
const longestAnswerLineBytes = 16_777_216;
const successStatus = 200;

type ServerConnections = {
	incarnation: string;
	pool: Pool;
};

/** Starts tasks over HTTP/1.1 with keep-alive connections. Sends each batch once and never again. */
export class HttpTaskStarter extends TaskStarter {
	readonly #onTaskEvent: (event: TaskEvent) => void;
	readonly #connections = new Map<string, ServerConnections>();

	/**
	 * Creates the client.
	 * @param onTaskEvent - Called once for each attempt.
	 */
	constructor(onTaskEvent: (event: TaskEvent) => void) {
		super();
		this.#onTaskEvent = onTaskEvent;
	}

	override start(server: BackendServerAnnouncement, batch: TaskStartBatch): void {
		const exchange = createExchange(server.id, batch, this.#onTaskEvent);
		const options: HttpDispatcher.DispatchOptions = {
			path: '/v1/tasks',
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(batch),
			headersTimeout: batch.deadlineMs + answerGraceMs,
			bodyTimeout: batch.deadlineMs + answerGraceMs,
		};
		this.#getPool(server).dispatch(options, exchange);
	}

	override stop(server: BackendServerAnnouncement, attempts: readonly string[]): void {
		const options: HttpDispatcher.DispatchOptions = {
			path: '/v1/tasks/stop',
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({attempts}),
		};
		this.#getPool(server).dispatch(options, createIgnoringHandler());
	}

	/** Closes the connections that are idle and those in use once their answers have come. */
	async close(): Promise<void> {
		const pools = [...this.#connections.values()].map(connections => connections.pool);
		this.#connections.clear();
		await Promise.all(pools.map(async pool => pool.close()));
	}

	/** Closes every connection at once. */
	async destroy(): Promise<void> {
		const pools = [...this.#connections.values()].map(connections => connections.pool);
		this.#connections.clear();
		await Promise.all(pools.map(async pool => pool.destroy()));
	}

	#getPool(server: BackendServerAnnouncement): Pool {
		const known = this.#connections.get(server.id);
		if (known?.incarnation === server.incarnation) {
			return known.pool;
		}

		const pool = new Pool(`http://${formatHost(server.host)}:${server.port}`, {
			connections: server.connectionLimit,
			pipelining: 1,
			connect: {timeout: connectTimeoutMs},
			keepAliveTimeout: keepAliveTimeoutMs,
		});
		this.#connections.set(server.id, {incarnation: server.incarnation, pool});
		void known?.pool.close();
		return pool;
	}
}

function createExchange(backendServerId: string, batch: TaskStartBatch, onTaskEvent: (event: TaskEvent) => void): HttpDispatcher.DispatchHandler {
	const openAttempts = new Set(batch.tasks.map(task => task.attempt));
	let isStarted = false;
	let isRefused = false;

	const giveAnswer = (line: string) => {
		const parsed = taskAnswerSchema.safeParse(parseJson(line));
		if (parsed.success) {
			openAttempts.delete(parsed.data.attempt);
			onTaskEvent({kind: 'answer', backendServerId, answer: parsed.data});
		}
	};

	const splitter = createLineSplitter(longestAnswerLineBytes, giveAnswer);

	const endOpenAttempts = () => {
		const attempts = [...openAttempts];
		openAttempts.clear();
		if (attempts.length === 0) {
			return;
		}

		if (!isRefused) {
			onTaskEvent({kind: isStarted ? 'connection-lost' : 'connect-refused', backendServerId, attempts});
			return;
		}

		for (const attempt of attempts) {
			onTaskEvent({kind: 'answer', backendServerId, answer: {attempt, state: 'not-run', reason: 'the backend server refused the batch'}});
		}
	};

	return {
		onRequestStart(controller) {
			// The client calls this right before it writes. A second call would be a second sending.
			if (isStarted) {
				controller.abort(new Error('a batch is sent once'));
				return;
			}

			isStarted = true;
		},
		onResponseStart(_controller, statusCode, headers) {
			isRefused = statusCode !== successStatus && headers[notRunHeader] === 'true';
		},
		onResponseData(controller, chunk) {
			try {
				splitter.addChunk(chunk);
			} catch (error) {
				controller.abort(error instanceof Error ? error : new Error('the answer is not valid'));
			}
		},
		onResponseEnd() {
			splitter.end();
			endOpenAttempts();
		},
		onResponseError() {
			endOpenAttempts();
		},
	};
}

function createIgnoringHandler(): HttpDispatcher.DispatchHandler {
	return {
		onRequestStart() {
			// A stop message is sent at most once; its loss costs only the rest of the task's run.
		},
		onResponseStart() {
			// The answers to the attempts come on their own exchange.
		},
		onResponseData() {
			// Nothing is expected.
		},
		onResponseEnd() {
			// Nothing is expected.
		},
		onResponseError() {
			// Nothing is expected.
		},
	};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function formatHost(host: string): string {
	return host.includes(':') ? `[${host}]` : host;
}
