// An HTTP client that sends one request, over a connection of its own unless an agent is given.
import {Buffer} from 'node:buffer';
import {request} from 'node:http';

/**
 * Sends one request. The status is 0 if no complete response arrives.
 * @param {object} options - The request.
 */
export async function callJson({host, port, method, path, body, headers = {}, timeoutMs, agent = false}) {
	const content = Buffer.from(body === undefined ? '' : JSON.stringify(body));
	return new Promise(resolve => {
		const sent = request({
			host, port, method, path, agent, headers: {...headers, 'content-type': 'application/json', 'content-length': content.length},
		}, response => {
			let text = '';
			response.setEncoding('utf8');
			response.on('data', chunk => {
				text += chunk;
			});
			response.once('end', () => {
				clearTimeout(timer);
				resolve({status: response.statusCode, body: parse(text)});
			});
			response.once('error', resolveWithoutResponse);
		});
		const timer = setTimeout(() => {
			sent.destroy();
		}, timeoutMs);
		function resolveWithoutResponse() {
			clearTimeout(timer);
			resolve({status: 0, body: undefined});
		}

		sent.once('error', resolveWithoutResponse);
		sent.once('close', resolveWithoutResponse);
		sent.end(content);
	});
}

function parse(text) {
	try {
		return JSON.parse(text);
	} catch {
		// The status tells enough then.
		return undefined;
	}
}
