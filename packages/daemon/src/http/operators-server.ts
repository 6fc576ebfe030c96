import {configurationObjectsSchema} from '@camphortack/configuration';
import {
	jobSubmissionSchema, nameSchema, requestSubmissionSchema, type EventLog, type Finding, type JobSubmission,
} from '@camphortack/core';
import type {RequestGuardOptions} from '@camphortack/process';
import type {Server} from 'restify';
import {z} from 'zod';
import type {ConfigurationService, PublishAnswer} from '../configuration/configuration-service.js';
import type {EvacuationService} from '../evacuations/evacuation-service.js';
import {createHttpServer} from './create-http-server.js';
import {createJobFromRequest} from './create-job-from-request.js';
import {addEvacuationRoutes} from './evacuation-routes.js';
import {getPathParameter} from './get-path-parameter.js';
import {parseBody, sendInputError} from './parse-body.js';
import {readJsonBody} from './read-json-body.js';
import {sendJson} from './send-json.js';

const maxPublishBytes = 33_554_432;

const notKeeperBody = {code: 'not-a-keeper', message: 'This daemon keeps no history; ask one with the role keeper.'};

const publishSchema = z.strictObject({
	baseVersion: z.int().min(0),
	publishId: nameSchema,
	author: z.string().min(1).max(200).default('unknown'),
	objects: configurationObjectsSchema,
});

const drainSchema = z.strictObject({
	backendServerId: nameSchema.optional(),
});

export type OperatorsServerOptions = {
	events: EventLog;
	limits: RequestGuardOptions;
	isAuthorized: (authorization: string | undefined) => boolean;
	configuration: ConfigurationService;
	evacuations: EvacuationService;
	/** Repeats the check of all objects that the command line runs before it publishes them. */
	checkObjects: (objects: z.output<typeof configurationObjectsSchema>) => Finding[];
	getStatus: () => unknown;
	getLimits: () => unknown[];
	/** Explains where a job would go now, without running it. */
	explainJob: (submission: JobSubmission) => unknown;
	/** Begins a graceful shutdown of this daemon. */
	onDrain: () => void;
	/** Stops sending new tasks to a backend server. Returns false if the server is unknown. */
	onDrainBackendServer: (backendServerId: string) => boolean;
};

/**
 * Creates the operators' HTTP interface. docs/API.md describes it.
 * @param options - The components to which it passes requests.
 */
export function createOperatorsServer(options: OperatorsServerOptions): Server {
	const server = createHttpServer('camphortack', options.limits);
	server.pre((request, response, next) => {
		if (options.isAuthorized(request.headers.authorization)) {
			next();
			return;
		}

		sendJson(response, 401, {code: 'unauthorized', message: 'The token is missing or unknown.'});
		next(false);
	});
	addConfigurationRoutes(server, options);
	addEvacuationRoutes(server, options.evacuations);
	server.get('/v1/status', async (_request, response) => {
		sendJson(response, 200, options.getStatus());
	});
	server.get('/v1/limits', async (_request, response) => {
		sendJson(response, 200, {limits: options.getLimits()});
	});
	server.post('/v1/where', async (request, response) => {
		try {
			sendJson(response, 200, options.explainJob(parseSubmission(await readJsonBody(request))));
		} catch (error) {
			sendInputError(response, error, options.events);
		}
	});
	server.post('/v1/drain', async (request, response) => {
		try {
			const {backendServerId} = parseBody(drainSchema, await readJsonBody(request));
			if (backendServerId === undefined) {
				sendJson(response, 202, {state: 'draining'});
				options.onDrain();
				return;
			}

			const isKnown = options.onDrainBackendServer(backendServerId);
			sendJson(response, isKnown ? 202 : 404, isKnown ? {state: 'leaving'} : {code: 'unknown-backend-server'});
		} catch (error) {
			sendInputError(response, error, options.events);
		}
	});
	return server;
}

/** A job has `tasks`, a single request has a `payload`. */
function parseSubmission(body: unknown): JobSubmission {
	const isJob = typeof body === 'object' && body !== null && 'tasks' in body;
	return isJob ? parseBody(jobSubmissionSchema, body) : createJobFromRequest(parseBody(requestSubmissionSchema, body));
}

function addConfigurationRoutes(server: Server, options: OperatorsServerOptions): void {
	const {configuration} = options;
	server.post('/v1/configuration', async (request, response) => {
		try {
			const publish = parseBody(publishSchema, await readJsonBody(request, maxPublishBytes));
			const findings = options.checkObjects(publish.objects);
			if (findings.length > 0) {
				sendJson(response, 400, {code: 'findings', findings});
				return;
			}

			const answer = await new Promise<PublishAnswer>(resolve => {
				configuration.publish(publish, resolve);
			});
			const {status, body} = getPublishResponse(answer);
			sendJson(response, status, body);
		} catch (error) {
			sendInputError(response, error, options.events);
		}
	});
	server.get('/v1/configuration', async (_request, response) => {
		const current = configuration.findConfiguration();
		sendJson(response, 200, current ?? {version: 0, objects: configurationObjectsSchema.parse({})});
	});
	server.get('/v1/configuration/history', async (_request, response) => {
		const entries = await configuration.findHistory();
		sendJson(response, entries === undefined ? 421 : 200, entries === undefined ? notKeeperBody : {entries});
	});
	server.get('/v1/configuration/versions/:version', async (request, response) => {
		const version = Number(getPathParameter(request.params, 'version'));
		const found = await configuration.findVersion(version);
		sendJson(response, found === undefined ? 404 : 200, found ?? {code: 'unknown-version'});
	});
}

function getPublishResponse(answer: PublishAnswer): {status: number; body: unknown} {
	switch (answer.kind) {
		case 'published': {
			return {status: 200, body: {version: answer.version}};
		}

		case 'conflict': {
			const {version, author, objects} = answer;
			return {status: 409, body: {code: 'conflict', conflict: {version, author, objects}}};
		}

		case 'rejected': {
			return {status: 400, body: {code: 'rejected', findings: [{code: 'rejected', message: answer.message, place: {}}]}};
		}

		case 'no-majority':
		case 'unknown': {
			return {status: 503, body: {code: answer.kind, message: answer.message}};
		}
	}
}
