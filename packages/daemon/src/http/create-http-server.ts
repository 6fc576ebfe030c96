import {createServer as createRestifyServer, type Server} from 'restify';

const headersTimeoutMs = 10_000;
const bodyTimeoutMs = 30_000;
const keepAliveTimeoutMs = 75_000;
const mostConnections = 10_000;

/** An HTTP server that listens. */
export type ListeningServer = {
	readonly url: string;
	readonly port: number;
	/** Takes no new connection, closes idle ones, and ends once the last answer is sent. */
	close(): Promise<void>;
};

/**
 * Creates a server with bounds on headers, body time and connections.
 * @param name - Sent in the `Server` header.
 */
export function createHttpServer(name: string): Server {
	const server = createRestifyServer({name, ignoreTrailingSlash: true, handleUncaughtExceptions: false});
	server.server.headersTimeout = headersTimeoutMs;
	server.server.requestTimeout = bodyTimeoutMs;
	server.server.keepAliveTimeout = keepAliveTimeoutMs;
	server.server.maxConnections = mostConnections;
	return server;
}

/**
 * Starts to listen.
 * @param server - The server.
 * @param host - The address to bind to.
 * @param port - The port; 0 takes a free one.
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
