import {request} from 'node:http';

/** Waits. */
export async function pause(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Sends one HTTP request and reads the answer; the status is 0 without a complete answer. */
export async function call({host, port, method, path, body, headers = {}, timeoutMs, agent = false, onRequest}) {
	return new Promise(resolve => {
		const text = body === undefined ? undefined : JSON.stringify(body);
		const sent = request({
			host,
			port,
			method,
			path,
			agent,
			headers: {...headers, ...(text !== undefined && {'content-type': 'application/json', 'content-length': new TextEncoder().encode(text).length})},
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.once('end', () => {
				finish({status: response.complete ? response.statusCode : 0, body: parse(chunks.join('')), reason: response.complete ? undefined : 'cut off'});
			});
			response.once('error', error => {
				finish({status: 0, reason: error.message});
			});
		});
		const timer = setTimeout(() => {
			finish({status: 0, reason: 'no answer in time'});
			sent.destroy();
		}, timeoutMs);

		function finish(reply) {
			clearTimeout(timer);
			resolve(reply);
		}

		sent.once('error', error => {
			finish({status: 0, reason: error.code ?? error.message});
		});
		onRequest?.(sent);
		sent.end(text);
	});
}

function parse(text) {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
