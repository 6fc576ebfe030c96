import {closeAfterResponse, createRequestGuard, type RequestGuardOptions} from '@camphortack/process';
import {createServer as createRestifyServer, type Server} from 'restify';
import {createRefusal} from './create-refusal.js';
import {sendOutcome} from './send-json.js';

const headersTimeoutMs = 10_000;
const requestTimeoutMs = 30_000;
const keepAliveTimeoutMs = 75_000;

/** A listening HTTP server. */
export type ListeningServer = {
	readonly url: string;
	readonly port: number;
	/** Accepts no new connections, closes idle ones, and resolves once the last response is sent. */
	close(): Promise<void>;
};

/**
 * Creates a server with timeouts for headers and whole requests, which keeps its clients within bounds.
 * @param name - Sent in the `Server` header.
 * @param limits - The bounds.
 */
export function createHttpServer(name: string, limits: RequestGuardOptions): Server {
	const server = createRestifyServer({name, ignoreTrailingSlash: true, handleUncaughtExceptions: false});
	server.server.headersTimeout = headersTimeoutMs;
	server.server.requestTimeout = requestTimeoutMs;
	server.server.keepAliveTimeout = keepAliveTimeoutMs;
	const guard = createRequestGuard(server.server, limits);
	server.pre((request, response, next) => {
		const admission = guard.admit(request, response);
		if (admission === 'admitted') {
			next();
			return;
		}

		if (admission === 'refused') {
			closeAfterResponse(response);
			sendOutcome(response, createRefusal('no-memory', {notRun: 'this-copy'}));
		}

		next(false);
	});
	return server;
}

/**
 * Starts to listen.
 * @param server - The server.
 * @param host - The address to bind to.
 * @param port - The port; 0 selects a free one.
 */
export async function listen(server: Server, host: string, port: number): Promise<ListeningServer> {
	await new Promise<void>((resolve, reject) => {
		server.server.once('error', reject);
		server.listen(port, host, () => {
			resolve();
		});
	});
	const address = server.server.address();
	const boundPort = typeof address === 'object' && address !== null ? address.port : port;
	return {
		url: `http://${host.includes(':') ? `[${host}]` : host}:${boundPort}`,
		port: boundPort,
		async close() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.server.closeIdleConnections();
			});
		},
	};
}
