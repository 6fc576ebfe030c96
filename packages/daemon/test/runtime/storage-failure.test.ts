import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {describe, it} from 'node:test';
import {z} from 'zod';
import {sendJson} from '../support/test-system.js';

const addressesSchema = z.object({operatorsUrl: z.string()});
const lineSchema = z.tuple([z.string()]);
const exitSchema = z.tuple([z.number(), z.unknown()]);
const mainPath = new URL('../../src/main.ts', import.meta.url).pathname;
/** The file size limit in blocks of 512 bytes. It suffices for the first publish, but not for many. */
const limitedFileBlocks = '64';

type RunningDaemon = {child: ChildProcess; operatorsUrl: string; getStderr: () => string};

/** Starts a daemon whose files cannot grow beyond a limit, to simulate a full disk. */
async function startDaemon(settingsFile: string, maxFileBlocks: string): Promise<RunningDaemon> {
	const flags = ['--disable-warning=DEP0111', '-C', 'camphortack-source', '--import', 'tsx'];
	const command = `ulimit -f ${maxFileBlocks} && exec "$0" "$@"`;
	const child = spawn('/bin/sh', ['-c', command, process.execPath, ...flags, mainPath, '--settings', settingsFile], {
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	let stderrText = '';
	child.stderr.setEncoding('utf8').on('data', (text: string) => {
		stderrText += text;
	});
	const [line] = lineSchema.parse(await once(createInterface({input: child.stdout}), 'line'));
	return {child, operatorsUrl: addressesSchema.parse(JSON.parse(line)).operatorsUrl, getStderr: () => stderrText};
}

async function publish(operatorsUrl: string, baseVersion: number): Promise<boolean> {
	const pools = Object.fromEntries(Array.from({length: 100}, (_, index) => [`pool-${baseVersion}-${index}`, {}]));
	try {
		const {status} = await sendJson('POST', `${operatorsUrl}/v1/configuration`, {
			baseVersion, publishId: `publish-${baseVersion}`, author: 'test', objects: {pools},
		});
		return status === 200;
	} catch {
		return false;
	}
}

describe('a daemon whose disk is full', {timeout: 120_000}, () => {
	it('exits with the reason, and has all acknowledged versions after a restart', async context => {
		const folder = await mkdtemp(join(tmpdir(), 'camphortack-test-'));
		context.after(async () => rm(folder, {recursive: true, force: true}));
		const settingsFile = join(folder, 'daemon.ini');
		await writeFile(settingsFile, `[daemon]\nid = d1\ndataFolder = ${join(folder, 'data')}\n`);

		const limited = await startDaemon(settingsFile, limitedFileBlocks);
		const exited = once(limited.child, 'exit');
		let acknowledged = 0;
		// eslint-disable-next-line no-await-in-loop -- Each publish is based on the previous one.
		while (await publish(limited.operatorsUrl, acknowledged)) {
			acknowledged++;
		}

		const [exitCode] = exitSchema.parse(await exited);
		assert.equal(exitCode, 1);
		assert.match(limited.getStderr(), /a write or sync failed/v);
		assert.ok(acknowledged > 0, 'no publish was acknowledged before the failure');

		const restarted = await startDaemon(settingsFile, 'unlimited');
		const ended = once(restarted.child, 'exit');
		let version: unknown = 0;
		while (version === 0) {
			// eslint-disable-next-line no-await-in-loop -- The version comes into force shortly after the start.
			const {body} = await sendJson('GET', `${restarted.operatorsUrl}/v1/configuration`);
			version = body.version;
		}

		restarted.child.kill('SIGTERM');
		await ended;
		assert.ok(version === acknowledged || version === acknowledged + 1, `version ${String(version)} after ${acknowledged} acknowledged publishes`);
	});
});
