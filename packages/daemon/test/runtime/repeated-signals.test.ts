import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {describe, it} from 'node:test';
import {z} from 'zod';

const mainPath = new URL('../../src/main.ts', import.meta.url).pathname;
const addressesSchema = z.object({callersUrl: z.string()});
/** A request whose body is still being sent, for which the stop waits. */
const openRequest = 'POST /v1/jobs HTTP/1.1\r\nhost: localhost\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{';
const restOfBody = '}';

describe('the program of the daemon, when it is stopped', () => {
	for (const signals of [['SIGTERM', 'SIGTERM'], ['SIGINT', 'SIGTERM']] as const) {
		// Guards against a further signal that ends the process at once, and cuts the requests that it still answers.
		it(`goes on answering open requests: ${signals.join(', ')}`, async () => {
			const flags = ['--disable-warning=DEP0111', '-C', 'camphortack-source', '--import', 'tsx'];
			// eslint-disable-next-line @typescript-eslint/naming-convention -- The name of an environment variable.
			const env = {...process.env, DEBUG: 'camphortack:*'};
			const child = spawn(process.execPath, [...flags, mainPath], {stdio: ['ignore', 'pipe', 'pipe'], env});
			const exited = once(child, 'exit');
			const [line] = z.tuple([z.string()]).parse(await once(createInterface({input: child.stdout}), 'line'));
			const {port} = new URL(addressesSchema.parse(JSON.parse(line)).callersUrl);
			const socket = connect(Number(port), '127.0.0.1');
			await once(socket, 'connect');
			socket.write(openRequest);
			const lines = createInterface({input: child.stderr});
			child.kill(signals[0]);
			for await (const logged of lines) {
				if (logged.includes('daemon-draining')) {
					break;
				}
			}

			child.kill(signals[1]);
			socket.write(restOfBody);
			let answer = '';
			for await (const part of socket.setEncoding('utf8')) {
				answer += String(part);
			}

			assert.match(answer, /^HTTP\/1\.1 \d{3} /v);
			assert.deepEqual(await exited, [0, null]);
		});
	}
});
