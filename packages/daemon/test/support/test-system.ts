import {configurationObjectsSchema, readSettings, type ConfigurationObjects} from '@camphortack/configuration';
import {createStandInBackendServer, type StandInBackendServer, type StandInBackendServerOptions} from '@camphortack/testkit';
import {startDaemon, type Daemon, type DaemonAddresses} from '../../src/index.js';

/** An HTTP response with a parsed JSON body. */
export type JsonResponse = {
	status: number;
	headers: Headers;
	body: Record<string, unknown>;
};

/** A daemon in the test process with stand-in backend servers. */
export type TestSystem = {
	daemon: Daemon;
	servers: StandInBackendServer[];
	/** Sends a JSON request to the callers' interface. */
	call: (method: string, path: string, body?: unknown) => Promise<JsonResponse>;
	stop: () => Promise<void>;
};

export const testObjects = configurationObjectsSchema.parse({
	pools: {walnut: {}},
	services: {quote: {pool: 'walnut', declaredRunTimeMs: 20}},
	customers: {workshop: {}},
});

/** Sends a JSON request and parses the response. */
export async function sendJson(method: string, url: string, body?: unknown): Promise<JsonResponse> {
	const response = await fetch(url, {
		method,
		headers: {'content-type': 'application/json'},
		body: body === undefined ? undefined : JSON.stringify(body),
	});
	const parsed: unknown = await response.json();
	const record = typeof parsed === 'object' && parsed !== null ? Object.fromEntries(Object.entries(parsed)) : {};
	return {status: response.status, headers: response.headers, body: record};
}

/** Publishes configuration objects as version 1. */
export async function publishObjects(addresses: DaemonAddresses, objects: ConfigurationObjects = testObjects): Promise<JsonResponse> {
	return sendJson('POST', `${addresses.operatorsUrl}/v1/configuration`, {
		baseVersion: 0, publishId: 'test', author: 'test', objects,
	});
}

/** Starts a test system and waits until its backend servers have announced themselves. */
export async function startTestSystem(
	serverOptions: Array<Partial<StandInBackendServerOptions>>,
	objects: ConfigurationObjects = testObjects,
): Promise<TestSystem> {
	const daemon = await startDaemon(readSettings('(none)', ''));
	await publishObjects(daemon.addresses, objects);
	const servers = await Promise.all(serverOptions.map(async (options, index) => createStandInBackendServer({
		id: `backend-${index}`,
		services: ['quote'],
		availabilityZone: 'zone-1',
		announceUrl: daemon.addresses.backendServersUrl,
		...options,
	})));
	await Promise.all(servers.map(async server => server.announce()));
	return {
		daemon,
		servers,
		call: async (method, path, body) => sendJson(method, `${daemon.addresses.callersUrl}${path}`, body),
		async stop() {
			await daemon.stop();
			await Promise.all(servers.map(async server => server.close()));
		},
	};
}

/** Creates the request body of a job submission. */
export function createJobBody(taskCount: number, fields: Record<string, unknown> = {}): Record<string, unknown> {
	return {
		customer: 'workshop',
		service: 'quote',
		deadlineMs: 20_000,
		tasks: Array.from({length: taskCount}, (_, index) => ({payload: {index}})),
		...fields,
	};
}

/** Counts the task starts that the backend servers received. */
export function countStarts(servers: readonly StandInBackendServer[]): number {
	return servers.flatMap(server => [...server.starts.values()]).reduce((sum, count) => sum + count, 0);
}
