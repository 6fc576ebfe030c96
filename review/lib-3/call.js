import {Agent, request as sendRequest} from 'node:http';

const defaultTimeoutMs = 1000;

/**
 * Sends an HTTP request with a JSON body and resolves with the status and the body, or with the reason why there is no response.
 * @param options - The address, the request and how long to wait.
 */
export async function call({host, port, method, path, headers = {}, body, timeoutMs = defaultTimeoutMs, agent = false}) {
	const text = body === undefined ? '' : JSON.stringify(body);
	return new Promise(resolve => {
		const chunks = [];
		const request = sendRequest({
			host,
			port,
			method,
			path,
			agent,
			headers: {...headers, ...(text === '' ? {} : {'content-type': 'application/json', 'content-length': text.length})},
		});
		const timer = setTimeout(() => {
			request.destroy(new Error(`no response within ${timeoutMs} ms`));
		}, timeoutMs);

		function end(result) {
			clearTimeout(timer);
			resolve(result);
		}

		request.once('error', error => {
			end({status: 0, error: error.message});
		});
		request.once('response', response => {
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.once('error', error => {
				end({status: 0, error: error.message});
			});
			response.once('end', () => {
				end({status: response.statusCode, body: parse(chunks.join(''))});
			});
		});
		request.end(text);
	});
}

/** Creates an agent that keeps one connection open between requests. */
export function createConnection() {
	return new Agent({keepAlive: true, maxSockets: 1});
}

function parse(text) {
	try {
		return JSON.parse(text);
	} catch {
		// The text is shown in the record as it is.
		return text;
	}
}
