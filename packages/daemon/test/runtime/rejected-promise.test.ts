import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {describe, it} from 'node:test';
import {z} from 'zod';

const mainPath = new URL('../../src/main.ts', import.meta.url).pathname;
/** Rejects a promise for which nothing waits, whenever the process gets the signal. */
const rejectOnSignal = 'data:text/javascript,process.on("SIGUSR2", () => { Promise.reject(new RangeError("odd value")); });';
const addressesSchema = z.object({callersUrl: z.string()});

describe('the program of the daemon', () => {
	// Guards against a daemon that the rejected promise of one request ends.
	it('goes on after a rejected promise for which nothing waits, and stops on a signal', async () => {
		const flags = ['--disable-warning=DEP0111', '-C', 'camphortack-source', '--import', 'tsx', '--import', rejectOnSignal];
		// eslint-disable-next-line @typescript-eslint/naming-convention -- The name of an environment variable.
		const env = {...process.env, DEBUG: 'camphortack:error'};
		const child = spawn(process.execPath, [...flags, mainPath], {stdio: ['ignore', 'pipe', 'pipe'], env});
		const exited = once(child, 'exit');
		const [line] = z.tuple([z.string()]).parse(await once(createInterface({input: child.stdout}), 'line'));
		const {callersUrl} = addressesSchema.parse(JSON.parse(line));
		const lines = createInterface({input: child.stderr});
		child.kill('SIGUSR2');
		const [logged] = z.tuple([z.string()]).parse(await Promise.race([once(lines, 'line'), exited.then(() => ['ended'])]));
		assert.match(logged, /E1009 request-failed .*odd value/v);
		const {status} = await fetch(`${callersUrl}/healthz`);
		assert.equal(status, 200);
		child.kill('SIGTERM');
		assert.deepEqual(await exited, [0, null]);
	});
});
