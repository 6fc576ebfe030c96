import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {TimerService} from '@camphortack/core';
import type {LimitLog} from '../limits/limit-log.js';
import type {MemoryBudget, Reservation} from '../memory/memory-budget.js';
import {createConnectionTable} from './connection-table.js';

/** Keeps the clients of an HTTP server within bounds, over all of its connections and requests. */
export type RequestGuard = {
	/**
	 * Admits a request, and reserves memory for it until its response is sent. Otherwise the request must not be handled: either its
	 * connection is about to be closed, or a refusal has to be sent.
	 */
	admit(request: IncomingMessage, response: ServerResponse): Admission;
};

export type Admission = 'admitted' | 'refused' | 'ignored';

export type RequestGuardOptions = {
	maxConnections: number;
	/** The memory for bodies, open requests and unread responses. Several servers may share it. */
	memory: MemoryBudget;
	limitLog: LimitLog;
	timers: TimerService;
};

/** Roughly what an open request takes, without its headers and its body. */
export const requestOverheadBytes = 8192;
/** Roughly what a name or a value of a header takes. */
const headerTextBytes = 64;
/** A client that waits for each response before it sends the next request has one open request. */
const maxOpenRequestsPerConnection = 16;
/** Lets the response arrive before the reset of a connection whose body was not read. */
const closeDelayMs = 500;

/** A request that a guard has admitted or refused. */
type GuardedRequest = {
	/** What the request takes without its body. */
	overheadBytes: number;
	/** Undefined if the request was refused. */
	reservation: Reservation | undefined;
	limitLog: LimitLog;
	closeConnectionSoon: () => void;
};

const guardedRequests = new WeakMap<IncomingMessage, GuardedRequest>();

/**
 * Finds the memory that is reserved for an admitted request.
 * @param request - The request.
 */
export function findRequestReservation(request: IncomingMessage): Reservation | undefined {
	return guardedRequests.get(request)?.reservation;
}

/**
 * Reserves memory for what a request holds until its response is sent, in place of what was reserved before. Returns false if there is
 * none. A request that no guard has admitted is not limited.
 * @param request - The request.
 * @param sizeBytes - The memory, without that of the request itself.
 */
export function reserveForRequest(request: IncomingMessage, sizeBytes: number): boolean {
	const guarded = guardedRequests.get(request);
	const isReserved = guarded?.reservation?.resize(guarded.overheadBytes + sizeBytes) ?? true;
	if (!isReserved) {
		guarded?.limitLog.record('limit-request-memory');
	}

	return isReserved;
}

/**
 * Lets the body of a request, which is not complete yet, give way to others. Its connection is then about to be closed.
 * @param request - The request.
 * @param onEvict - Called if the memory of the body was needed.
 */
export function setBodyEvictable(request: IncomingMessage, onEvict: () => void): void {
	const guarded = guardedRequests.get(request);
	guarded?.reservation?.setEvictable(() => {
		guarded.limitLog.record('limit-unfinished-bodies');
		guarded.closeConnectionSoon();
		onEvict();
	});
}

/**
 * Closes the connection of a response soon after it was sent; a body that still arrives is discarded meanwhile. It must be called
 * before the response is sent.
 * @param response - The response.
 */
export function closeAfterResponse(response: ServerResponse): void {
	response.setHeader('connection', 'close');
	response.req.resume();
	guardedRequests.get(response.req)?.closeConnectionSoon();
}

/**
 * Reserves memory for a large response, which is held until the client has read it. Returns false if there is none.
 * @param response - The response.
 * @param sizeBytes - The size of its body.
 */
export function reserveResponse({req: request}: ServerResponse, sizeBytes: number): boolean {
	return sizeBytes <= requestOverheadBytes || reserveForRequest(request, sizeBytes);
}

/**
 * Creates the guard of a server, which must not listen yet.
 * @param server - The server.
 * @param options - The bounds.
 *
 * @example
 * ```ts
 * const guard = createRequestGuard(server, {maxConnections: 2050, memory, limitLog, timers});
 * server.on('request', (request, response) => {
 * 	if (guard.admit(request, response) === 'admitted') {
 * 		handleRequest(request, response);
 * 	}
 * });
 * ```
 */
export function createRequestGuard(server: Server, {maxConnections, memory, limitLog, timers}: RequestGuardOptions): RequestGuard {
	/** The responses of each connection that were not sent yet. */
	const openResponses = new Map<Socket, Set<ServerResponse>>();
	const closingSockets = new WeakSet<Socket>();
	const connections = createConnectionTable<Socket>({
		maxCount: maxConnections,
		close(socket) {
			limitLog.record('limit-connections');
			socket.destroy();
		},
		endRequest: memory.evictOne,
	});

	server.on('connection', (socket: Socket) => {
		if (!connections.add(socket)) {
			limitLog.record('limit-connections');
			socket.destroy();
			return;
		}

		openResponses.set(socket, new Set());
		socket.once('close', () => {
			connections.remove(socket);
			closeResponses(socket);
		});
	});

	/** Only the first response that waits to be sent is told by its server that the connection is closed. */
	function closeResponses(socket: Socket): void {
		const responses = openResponses.get(socket) ?? [];
		openResponses.delete(socket);
		setImmediate(() => {
			for (const response of responses) {
				response.emit('close');
			}
		});
	}

	function closeSoon(socket: Socket): void {
		if (closingSockets.has(socket)) {
			return;
		}

		closingSockets.add(socket);
		connections.setState(socket, 'closing');
		const timer = timers.addTimer(closeDelayMs, () => {
			socket.destroy();
		});
		socket.once('close', () => {
			timer.cancel();
		});
	}

	function addResponse(socket: Socket, responses: Set<ServerResponse>, response: ServerResponse): void {
		responses.add(response);
		connections.setState(socket, 'busy');
		response.once('close', () => {
			responses.delete(response);
			if (responses.size === 0 && !closingSockets.has(socket)) {
				connections.setState(socket, 'idle');
			}
		});
	}

	function holdUntilClosed(response: ServerResponse, reservation: Reservation): void {
		// From here on, the response only waits for its client to read it.
		response.once('prefinish', () => {
			reservation.setEvictable(() => {
				const {socket} = response.req;
				limitLog.record('limit-unread-responses');
				connections.setState(socket, 'closing');
				socket.destroy();
			});
		});
		response.once('close', reservation.release);
	}

	return {
		admit(request, response) {
			const {socket} = request;
			const responses = openResponses.get(socket);
			if (responses === undefined || closingSockets.has(socket)) {
				abandonConnection(socket);
				return 'ignored';
			}

			addResponse(socket, responses, response);
			if (responses.size > maxOpenRequestsPerConnection) {
				limitLog.record('limit-requests-per-connection');
				abandonConnection(socket);
				return 'ignored';
			}

			const overheadBytes = requestOverheadBytes + (request.rawHeaders.length * headerTextBytes);
			const reservation = memory.reserve(overheadBytes);
			guardedRequests.set(request, {
				overheadBytes,
				reservation,
				limitLog,
				closeConnectionSoon() {
					closeSoon(socket);
				},
			});
			if (reservation === undefined) {
				limitLog.record('limit-request-memory');
				return 'refused';
			}

			holdUntilClosed(response, reservation);
			return 'admitted';
		},
	};
}

/** The parser of a connection, which calls a function with each request. Node does not declare it. */
type ParsedSocket = Socket & {parser?: {onIncoming?: unknown} | undefined};

/**
 * Closes a connection, and discards the requests in the bytes that were read from it. These may hold a thousand of them, which would
 * be kept until the connection is closed, at the end of the turn of the event loop.
 */
function abandonConnection(socket: Socket): void {
	const {parser} = socket as ParsedSocket;
	if (parser) {
		parser.onIncoming = discardRequest;
	}

	socket.destroy();
}

/** Tells a parser to go on with the next request. */
function discardRequest(): number {
	return 0;
}
