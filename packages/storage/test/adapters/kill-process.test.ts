import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {mkdtemp, readdir, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {
	after, before, describe, it,
} from 'node:test';
import {fileURLToPath} from 'node:url';
import {createSeededRandomSource} from '@camphortack/core';
import {openLog} from '../support/log-harness.js';
import {NodeFileSystem} from '@camphortack/storage';

const seed = 11;
const childPath = fileURLToPath(new URL('../support/append-forever.ts', import.meta.url));

/** Runs the child until it has printed a number of acknowledgements, calls back while it still runs, and then kills it. */
async function runChild(path: string, acknowledgements: number, onReached: () => Promise<void>): Promise<number> {
	const child = spawn(process.execPath, ['-C', 'camphortack-source', '--import', 'tsx', childPath, path], {stdio: ['ignore', 'pipe', 'inherit']});
	let last = 0;
	let count = 0;
	for await (const line of createInterface({input: child.stdout})) {
		last = Number(line);
		if (++count === acknowledgements) {
			await onReached();
			child.kill('SIGKILL');
		}
	}

	return last;
}

describe('process killed during appends', () => {
	let folder = '';
	before(async () => {
		folder = await mkdtemp(join(tmpdir(), 'camphortack-storage-'));
	});
	after(async () => {
		await rm(folder, {recursive: true});
	});

	async function assertLocked(): Promise<void> {
		await assert.rejects(openLog(new NodeFileSystem(), folder), /data folder is in use \(pid \d+ start \d+\)/v);
	}

	it(`loses no acknowledged record and leaves no lock (seed ${seed})`, async () => {
		const random = createSeededRandomSource(seed);
		for (let round = 0; round < 6; round++) {
			// eslint-disable-next-line no-await-in-loop -- Each round continues where the previous process was killed.
			const acknowledged = await runChild(folder, random.getInteger(1, 160), assertLocked);
			// eslint-disable-next-line no-await-in-loop -- Each round continues where the previous process was killed.
			const {log, dataFolder} = await openLog(new NodeFileSystem(), folder);
			const found = Number(log.getRecords().at(-1) ?? log.getSnapshot() ?? 0);
			// eslint-disable-next-line no-await-in-loop -- Each round continues where the previous process was killed.
			await log.close();
			// eslint-disable-next-line no-await-in-loop -- Each round continues where the previous process was killed.
			await dataFolder.close();
			assert.ok(acknowledged > 0 && found >= acknowledged, `acknowledged ${acknowledged}, found ${found}`);
		}

		const names = await readdir(folder);
		assert.ok(names.length < 8, `old files were not removed: ${names.join(' ')}`);
	});

	it('rejects the folder of another daemon', async () => {
		await assert.rejects(openLog(new NodeFileSystem(), folder, 'keeper-2'), /belongs to daemon "keeper-1"/v);
	});
});
