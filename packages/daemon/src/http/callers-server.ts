import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Server} from 'restify';
import {
	FindingsError, jobSubmissionSchema, requestSubmissionSchema, type EventLog, type JobOutcome, type JobSubmission,
} from '@camphortack/core';
import {closeAfterResponse, type RequestGuardOptions} from '@camphortack/process';
import {z} from 'zod';
import type {JobService} from '../jobs/job-service.js';
import {createHttpServer} from './create-http-server.js';
import {createJobFromRequest} from './create-job-from-request.js';
import {createRefusal} from './create-refusal.js';
import {getPathParameter} from './get-path-parameter.js';
import {parseBody} from './parse-body.js';
import {NoMemoryError} from './no-memory-error.js';
import {BodyTooLargeError, readJsonBody} from './read-json-body.js';
import {sendJson, sendOutcome} from './send-json.js';
import {sendUnexpectedError} from './send-unexpected-error.js';

const maxWaitMs = 60_000;
const maxTicketsPerCall = 10_000;
const runningStatus = 202;

const waitSchema = z.coerce.number().min(0).max(maxWaitMs).default(0);
const ticketsSchema = z.strictObject({count: z.int().min(1).max(maxTicketsPerCall).default(1)});

export type CallersServerOptions = {
	events: EventLog;
	jobs: JobService;
	/** Whether the daemon accepts submissions. */
	isReady: () => boolean;
	limits: RequestGuardOptions;
	/** Whether a token may act for a customer. */
	isAuthorized: (authorization: string | undefined, customer: string) => boolean;
};

/**
 * Creates the callers' HTTP interface. docs/API.md describes it.
 * @param options - The components to which it passes requests.
 */
export function createCallersServer(options: CallersServerOptions): Server {
	const server = createHttpServer('camphortack', options.limits);
	server.get('/healthz', async (_request, response) => {
		sendJson(response, 200, {status: 'alive'});
	});
	server.get('/readyz', async (_request, response) => {
		const isReady = options.isReady();
		sendJson(response, isReady ? 200 : 503, {status: isReady ? 'ready' : 'not-ready'});
	});
	server.post('/v1/jobs', async (request, response) => {
		await handleSubmission(request, response, options, body => parseBody(jobSubmissionSchema, body));
	});
	server.post('/v1/requests', async (request, response) => {
		await handleSubmission(request, response, options, body => createJobFromRequest(parseBody(requestSubmissionSchema, body)));
	});
	server.post('/v1/tickets', async (request, response) => {
		await handleInputErrors(response, options.events, async () => {
			const {count} = parseBody(ticketsSchema, await readJsonBody(request));
			sendJson(response, 200, {tickets: options.jobs.createTickets(count)});
		});
	});
	server.get('/v1/jobs/:id', async (request, response) => {
		const query = new URLSearchParams(request.getQuery());
		const waitMs = waitSchema.catch(0).parse(query.get('waitMs') ?? undefined);
		const id = getPathParameter(request.params, 'id');
		if (authorizeJobAccess(request, response, options, id)) {
			await sendLookupResult(response, options.jobs, id, waitMs);
		}
	});
	server.del('/v1/jobs/:id', async (request, response) => {
		const id = getPathParameter(request.params, 'id');
		if (!authorizeJobAccess(request, response, options, id)) {
			return;
		}

		if (options.jobs.cancelJob(id)) {
			sendJson(response, 202, {id, state: 'cancelling'});
		} else {
			sendOutcome(response, options.jobs.countRefusal(createRefusal('unknown-job', {id, notRun: 'this-copy'})));
		}
	});
	return server;
}

/** Checks that the token may act for the customer that submitted the job, and responds with a refusal if not. */
function authorizeJobAccess(request: IncomingMessage, response: ServerResponse, {jobs, isAuthorized}: CallersServerOptions, id: string): boolean {
	const customer = jobs.findCustomer(id);
	if (customer === undefined || isAuthorized(request.headers.authorization, customer)) {
		return true;
	}

	sendOutcome(response, jobs.countRefusal(createRefusal('unauthorized', {id, notRun: 'this-copy'})));
	return false;
}

async function handleSubmission(
	request: IncomingMessage,
	response: ServerResponse,
	options: CallersServerOptions,
	readSubmission: (body: unknown) => JobSubmission,
): Promise<void> {
	await handleInputErrors(response, options.events, async () => {
		const submission = readSubmission(await readJsonBody(request));
		if (!options.isAuthorized(request.headers.authorization, submission.customer)) {
			sendOutcome(response, options.jobs.countRefusal(createRefusal('unauthorized', {id: submission.id, notRun: getNotRunScope(submission.id)})));
			return;
		}

		const outcome = await new Promise<JobOutcome>(resolve => {
			options.jobs.submitJob(submission, resolve);
		});
		sendOutcome(response, outcome);
	}, refusal => options.jobs.countRefusal(refusal));
}

async function sendLookupResult(response: ServerResponse, jobs: JobService, id: string, waitMs: number): Promise<void> {
	const outcome = await jobs.waitForOutcome(id, waitMs);
	if (outcome === 'running') {
		sendJson(response, runningStatus, {id, state: 'running'});
		return;
	}

	sendOutcome(response, outcome);
}

async function handleInputErrors(
	response: ServerResponse,
	events: EventLog,
	action: () => Promise<void>,
	countRefusal: (refusal: ReturnType<typeof createRefusal>) => JobOutcome = refusal => refusal,
): Promise<void> {
	try {
		await action();
	} catch (error) {
		if (error instanceof FindingsError) {
			sendOutcome(response, countRefusal(createRefusal('bad-input', {notRun: 'this-copy', findings: error.findings})));
			return;
		}

		if (error instanceof BodyTooLargeError) {
			closeAfterResponse(response);
			sendOutcome(response, countRefusal(createRefusal('payload-too-large', {notRun: 'this-copy', message: error.message})));
			return;
		}

		if (error instanceof NoMemoryError) {
			closeAfterResponse(response);
			sendOutcome(response, countRefusal(createRefusal('no-memory', {notRun: 'this-copy'})));
			return;
		}

		sendUnexpectedError(response, error, events);
	}
}

function getNotRunScope(id: string | undefined): 'job' | 'this-copy' {
	return id === undefined ? 'job' : 'this-copy';
}
