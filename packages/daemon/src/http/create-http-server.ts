import {createServer as createRestifyServer, type Server} from 'restify';

const headersTimeoutMs = 10_000;
const requestTimeoutMs = 30_000;
const keepAliveTimeoutMs = 75_000;
const maxConnections = 10_000;

/** A listening HTTP server. */
export type ListeningServer = {
	readonly url: string;
	readonly port: number;
	/** Accepts no new connections, closes idle ones, and resolves once the last response is sent. */
	close(): Promise<void>;
};

/**
 * Creates a server with timeouts for headers and whole requests and a limit on connections.
 * @param name - Sent in the `Server` header.
 */
export function createHttpServer(name: string): Server {
	const server = createRestifyServer({name, ignoreTrailingSlash: true, handleUncaughtExceptions: false});
	server.server.headersTimeout = headersTimeoutMs;
	server.server.requestTimeout = requestTimeoutMs;
	server.server.keepAliveTimeout = keepAliveTimeoutMs;
	server.server.maxConnections = maxConnections;
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
