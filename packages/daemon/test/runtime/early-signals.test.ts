import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {describe, it} from 'node:test';

const mainPath = new URL('../../src/main.ts', import.meta.url).pathname;

type EarlySignal = {
	moment: string;
	/** Code that sends the process the signal in the variable `signal` at that moment. */
	code: string;
};

const moments: readonly EarlySignal[] = [
	{
		moment: 'as soon as it listens',
		code: `
			import {Server} from 'node:net';
			const {listen} = Server.prototype;
			Server.prototype.listen = function (...parameters) {
				Server.prototype.listen = listen;
				this.once('listening', () => process.kill(process.pid, signal));
				return listen.apply(this, parameters);
			};
		`,
	},
	{
		moment: 'when it has written its addresses',
		code: `
			const {write} = process.stdout;
			process.stdout.write = function (...parameters) {
				const hasRoom = write.apply(this, parameters);
				process.kill(process.pid, signal);
				return hasRoom;
			};
		`,
	},
];

describe('the program of the daemon, when a signal comes early', () => {
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		for (const {moment, code} of moments) {
			// Guards against a signal that ends the process at once, and resets the connections that it has accepted.
			it(`shuts down: ${signal} ${moment}`, async () => {
				const preload = `data:text/javascript,${encodeURIComponent(`import process from 'node:process'; const signal = '${signal}'; ${code}`)}`;
				const flags = ['--disable-warning=DEP0111', '-C', 'camphortack-source', '--import', 'tsx', '--import', preload];
				const child = spawn(process.execPath, [...flags, mainPath], {stdio: ['ignore', 'pipe', 'ignore']});
				const exited = once(child, 'exit');
				let output = '';
				for await (const part of child.stdout.setEncoding('utf8')) {
					output += String(part);
				}

				assert.match(output, /^\{"callersUrl":.*\}\n$/v);
				assert.deepEqual(await exited, [0, null]);
			});
		}
	}
});
