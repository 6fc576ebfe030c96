import {Buffer} from 'node:buffer';
import {Pool, type Dispatcher as HttpDispatcher} from 'undici';
import {
	taskAnswerSchema, type BackendServerAnnouncement, type EventLog, type TaskAnswer, type TaskStartBatch,
} from '@camphortack/core';
import {TaskStarter, type TaskEvent} from '@camphortack/dispatch';
import {findNestingFinding} from '../http/find-nesting-finding.js';
import {createLineSplitter} from './create-line-splitter.js';

/** The response header with which a backend server states that it started no task of a batch. */
export const notRunHeader = 'camphortack-not-run';

const connectTimeoutMs = 1000;
/** Shorter than the usual keep-alive timeout of servers, so that a server rarely closes a connection while a request is written to it. */
const keepAliveTimeoutMs = 4000;
const answerGraceMs = 30_000;
const maxAnswerLineBytes = 16_777_216;
/** Deeper results can't be encoded for the caller, the keepers or another daemon. */
const maxResultLevels = 500;
/** The answer itself, in which the result is. */
const answerLevels = 1;
const successStatus = 200;

type ServerConnections = {
	incarnation: string;
	pool: Pool;
};

/** Starts tasks over HTTP/1.1 with keep-alive connections. Sends each batch at most once and never retries it. */
export class HttpTaskStarter extends TaskStarter {
	readonly #onTaskEvent: (event: TaskEvent) => void;
	readonly #events: EventLog;
	readonly #connections = new Map<string, ServerConnections>();

	/**
	 * Creates a task starter.
	 * @param onTaskEvent - Called with the answer to an attempt, or with the attempts that got no answer when the request ended.
	 * @param events - The event log.
	 */
	constructor(onTaskEvent: (event: TaskEvent) => void, events: EventLog) {
		super();
		this.#onTaskEvent = onTaskEvent;
		this.#events = events;
	}

	override start(server: BackendServerAnnouncement, batch: TaskStartBatch): void {
		const {handler, reportOpenAttempts} = createBatchHandler(server.id, batch, this.#onTaskEvent);
		this.#dispatch(server, () => ({
			path: '/v1/tasks',
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(batch),
			headersTimeout: batch.deadlineMs + answerGraceMs,
			bodyTimeout: batch.deadlineMs + answerGraceMs,
		}), handler, reportOpenAttempts);
	}

	override stop(server: BackendServerAnnouncement, attempts: readonly string[]): void {
		this.#dispatch(server, () => ({
			path: '/v1/tasks/stop',
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({attempts}),
		}), createIgnoringHandler());
	}

	/** Closes idle connections at once, and connections in use after their responses have arrived. */
	async close(): Promise<void> {
		const pools = [...this.#connections.values()].map(connections => connections.pool);
		this.#connections.clear();
		await Promise.all(pools.map(async pool => pool.close()));
	}

	/** Closes all connections immediately, including those in use. */
	async destroy(): Promise<void> {
		const pools = [...this.#connections.values()].map(connections => connections.pool);
		this.#connections.clear();
		await Promise.all(pools.map(async pool => pool.destroy()));
	}

	/** Sends a request. An error before anything is sent ends the request, and is reported after this call as any other end. */
	#dispatch(server: BackendServerAnnouncement, createRequest: () => HttpDispatcher.DispatchOptions, handler: HttpDispatcher.DispatchHandler, onFailed?: () => void): void {
		try {
			this.#getPool(server).dispatch(createRequest(), handler);
		} catch (error) {
			const reason = error instanceof Error ? error.message : String(error);
			this.#events.write('backend-server-unusable', {backendServer: server.id, host: server.host, reason});
			if (onFailed !== undefined) {
				queueMicrotask(onFailed);
			}
		}
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

type BatchHandler = {
	handler: HttpDispatcher.DispatchHandler;
	/** Reports the attempts that have no answer, once the request has ended. */
	reportOpenAttempts(): void;
};

function createBatchHandler(backendServerId: string, batch: TaskStartBatch, onTaskEvent: (event: TaskEvent) => void): BatchHandler {
	const openAttempts = new Set(batch.tasks.map(task => task.attempt));
	let isStarted = false;
	let isRefused = false;

	const handleAnswerLine = (line: string) => {
		const parsed = taskAnswerSchema.safeParse(parseJson(line));
		if (parsed.success) {
			const answer = getForwardableAnswer(parsed.data, line);
			openAttempts.delete(answer.attempt);
			onTaskEvent({kind: 'answer', backendServerId, answer});
		}
	};

	const splitter = createLineSplitter(maxAnswerLineBytes, handleAnswerLine);

	const reportOpenAttempts = () => {
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

	const handler: HttpDispatcher.DispatchHandler = {
		onRequestStart(controller) {
			// Undici calls this right before it writes the request. A second call would send the batch again.
			if (isStarted) {
				controller.abort(new Error('the HTTP client tried to send a batch a second time'));
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
				controller.abort(error instanceof Error ? error : new Error('invalid response from the backend server'));
			}
		},
		onResponseEnd() {
			splitter.end();
			reportOpenAttempts();
		},
		onResponseError() {
			reportOpenAttempts();
		},
	};
	return {handler, reportOpenAttempts};
}

function createIgnoringHandler(): HttpDispatcher.DispatchHandler {
	return {
		onRequestStart() {
			// A stop request is sent at most once. If it is lost, the tasks merely run to their end.
		},
		onResponseStart() {
			// The attempts are answered in the response to their start request.
		},
		onResponseData() {
			// The response is ignored.
		},
		onResponseEnd() {
			// The response is ignored.
		},
		onResponseError() {
			// The response is ignored.
		},
	};
}

/** Gets an answer, or an error in place of a result that is nested too deeply to be encoded for those who wait for it. */
function getForwardableAnswer(answer: TaskAnswer, line: string): TaskAnswer {
	const isTooDeep = answer.state === 'done' && findNestingFinding(Buffer.from(line), maxResultLevels + answerLevels) !== undefined;
	return isTooDeep ? {attempt: answer.attempt, state: 'error', message: `the result is nested deeper than ${maxResultLevels} levels`} : answer;
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
