import got, {RequestError, TimeoutError} from 'got';
import {CommandError} from '../errors/command-error.js';
import {exitCodes} from '../exit-codes.js';

const connectTimeoutMs = 5000;
const defaultResponseTimeoutMs = 15_000;

/** A request to a daemon. */
export type ApiRequest = {
	method: 'GET' | 'POST' | 'DELETE';
	path: string;
	body?: unknown;
	/**
	 * Whether the request has no effect that matters. If the response to a safe request is lost, nothing has been done.
	 * GET requests are always safe.
	 */
	isSafe?: boolean;
	/** The time to wait for the response. */
	responseTimeoutMs?: number;
};

/** A response with any status. */
export type ApiResponse = {
	status: number;
	body: unknown;
};

/** A client that sends each request once and never retries. */
export type ApiClient = {
	/**
	 * Sends one request.
	 * @throws CommandError `unreachable` if the request was not sent or is safe, `answer-lost` if it may have been handled.
	 */
	send(request: ApiRequest): Promise<ApiResponse>;
};

export type ApiClientOptions = {
	baseUrl: string;
	token?: string;
};

/** The codes of errors that occur before the first byte of the request is sent. */
const connectFailureCodes = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ERR_INVALID_URL']);
const connectPhases = new Set(['lookup', 'connect', 'secureConnect']);

/**
 * Creates a client for one daemon.
 * @param options - The address of the daemon and the token of the user.
 *
 * @example
 * ```ts
 * const client = createApiClient({baseUrl: 'http://127.0.0.1:8082'});
 * const {status} = await client.send({method: 'GET', path: '/v1/status'});
 * ```
 */
export function createApiClient(options: ApiClientOptions): ApiClient {
	const headers = options.token === undefined ? {} : {authorization: `Bearer ${options.token}`};
	const baseUrl = options.baseUrl.replace(/\/+$/v, '');

	return {
		async send(request) {
			try {
				const response = await got(`${baseUrl}${request.path}`, {
					method: request.method,
					headers,
					...(request.body !== undefined && {json: request.body}),
					retry: {limit: 0},
					followRedirect: false,
					throwHttpErrors: false,
					timeout: {connect: connectTimeoutMs, response: request.responseTimeoutMs ?? defaultResponseTimeoutMs},
				});
				return {status: response.statusCode, body: parseBody(response.body)};
			} catch (error) {
				throw createSendError(error, request, baseUrl);
			}
		},
	};
}

function parseBody(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function createSendError(error: unknown, request: ApiRequest, baseUrl: string): unknown {
	if (!(error instanceof RequestError)) {
		return error;
	}

	const isSent = error instanceof TimeoutError ? !connectPhases.has(error.event) : !connectFailureCodes.has(error.code);
	const hasEffect = request.method !== 'GET' && request.isSafe !== true;
	if (isSent && hasEffect) {
		const message = `the request was sent to the daemon at ${baseUrl}, but the response was lost (${error.message})`;
		return new CommandError('answer-lost', message, exitCodes.unknown);
	}

	const message = `the daemon at ${baseUrl} cannot be reached (${error.message}); check that it is running and that the address is correct`;
	return new CommandError('unreachable', message, exitCodes.unreachable);
}
