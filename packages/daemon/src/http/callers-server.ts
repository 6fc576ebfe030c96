import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Server} from 'restify';
import {
	FindingsError, jobSubmissionSchema, requestSubmissionSchema, type JobOutcome, type JobSubmission,
} from '@camphortack/core';
import {z} from 'zod';
import type {JobService} from '../jobs/job-service.js';
import {createHttpServer} from './create-http-server.js';
import {createRefusal} from './create-refusal.js';
import {getPathParameter} from './get-path-parameter.js';
import {parseBody} from './parse-body.js';
import {BodyTooLargeError, readJsonBody} from './read-json-body.js';
import {sendJson, sendOutcome} from './send-json.js';

const longestWaitMs = 60_000;
const mostTicketsPerCall = 10_000;
const statusOfRunning = 202;

const waitSchema = z.coerce.number().min(0).max(longestWaitMs).default(0);
const ticketsSchema = z.strictObject({count: z.int().min(1).max(mostTicketsPerCall).default(1)});

export type CallersServerOptions = {
	jobs: JobService;
	/** Whether the daemon takes traffic. */
	isReady: () => boolean;
	/** Whether a token may act for a customer. */
	isAuthorized: (authorization: string | undefined, customer: string) => boolean;
};

/**
 * Creates the callers' HTTP interface. docs/API.md describes it.
 * @param options - The parts that it stands before.
 */
export function createCallersServer(options: CallersServerOptions): Server {
	const server = createHttpServer('camphortack');
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
		await handleSubmission(request, response, options, body => createJobOfRequest(parseBody(requestSubmissionSchema, body)));
	});
	server.post('/v1/tickets', async (request, response) => {
		await answerInputErrors(response, async () => {
			const {count} = parseBody(ticketsSchema, await readJsonBody(request));
			sendJson(response, 200, {tickets: options.jobs.createTickets(count)});
		});
	});
	server.get('/v1/jobs/:id', async (request, response) => {
		const query = new URLSearchParams(request.getQuery());
		const waitMs = waitSchema.catch(0).parse(query.get('waitMs') ?? undefined);
		const id = getPathParameter(request.params, 'id');
		if (isOwnJob(request, response, options, id)) {
			await answerLookup(response, options.jobs, id, waitMs);
		}
	});
	server.del('/v1/jobs/:id', async (request, response) => {
		const id = getPathParameter(request.params, 'id');
		if (!isOwnJob(request, response, options, id)) {
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

/** Whether the token may act for the customer that submitted the job; answers the request if not. */
function isOwnJob(request: IncomingMessage, response: ServerResponse, {jobs, isAuthorized}: CallersServerOptions, id: string): boolean {
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
	await answerInputErrors(response, async () => {
		const submission = readSubmission(await readJsonBody(request));
		if (!options.isAuthorized(request.headers.authorization, submission.customer)) {
			sendOutcome(response, options.jobs.countRefusal(createRefusal('unauthorized', {id: submission.id, notRun: getScope(submission.id)})));
			return;
		}

		const outcome = await new Promise<JobOutcome>(resolve => {
			options.jobs.submitJob(submission, resolve);
		});
		sendOutcome(response, outcome);
	}, refusal => options.jobs.countRefusal(refusal));
}

async function answerLookup(response: ServerResponse, jobs: JobService, id: string, waitMs: number): Promise<void> {
	const outcome = await jobs.waitForOutcome(id, waitMs);
	if (outcome === 'running') {
		sendJson(response, statusOfRunning, {id, state: 'running'});
		return;
	}

	sendOutcome(response, outcome);
}

async function answerInputErrors(
	response: ServerResponse,
	work: () => Promise<void>,
	countRefusal: (refusal: ReturnType<typeof createRefusal>) => JobOutcome = refusal => refusal,
): Promise<void> {
	try {
		await work();
	} catch (error) {
		if (error instanceof FindingsError) {
			sendOutcome(response, countRefusal(createRefusal('bad-input', {notRun: 'this-copy', findings: error.findings})));
			return;
		}

		if (error instanceof BodyTooLargeError) {
			response.setHeader('connection', 'close');
			sendOutcome(response, countRefusal(createRefusal('payload-too-large', {notRun: 'this-copy', message: error.message})));
			return;
		}

		response.destroy();
	}
}

function createJobOfRequest({payload, declaredRunTimeMs, needs, ...submission}: z.output<typeof requestSubmissionSchema>): JobSubmission {
	return {...submission, tasks: [{payload, declaredRunTimeMs, needs}]};
}

function getScope(id: string | undefined): 'job' | 'this-copy' {
	return id === undefined ? 'job' : 'this-copy';
}
