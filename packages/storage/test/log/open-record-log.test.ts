import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createSeededRandomSource} from '@camphortack/core';
import {FaultyFileSystem} from '../support/faulty-file-system.js';
import {openLog, waitForWrites} from '../support/log-harness.js';

const logPath = '/data/register-0000000000000001.log';

async function createFileSystemWithLog(records: readonly unknown[], snapshotAfter?: number): Promise<FaultyFileSystem> {
	const fileSystem = new FaultyFileSystem();
	const {log, dataFolder} = await openLog(fileSystem);
	for (const [index, record] of records.entries()) {
		log.append(record);
		// eslint-disable-next-line no-await-in-loop -- Each record needs its own group commit.
		await waitForWrites();
		if (index === snapshotAfter) {
			log.writeSnapshot({upTo: index});
		}
	}

	await log.close();
	await dataFolder.close();
	return fileSystem;
}

function flipBits(offset: (bytes: Uint8Array) => number): (bytes: Uint8Array) => Uint8Array {
	return bytes => bytes.with(offset(bytes), 255 - bytes[offset(bytes)]!);
}

describe('openRecordLog', () => {
	it('restores the snapshot and the records, and syncs concurrent appends together', async () => {
		const fileSystem = new FaultyFileSystem();
		fileSystem.maxWriteBytes = 7;
		const first = await openLog(fileSystem);
		const synced: number[] = [];
		for (let value = 0; value < 100; value++) {
			first.log.append({value, bytes: Uint8Array.of(1, 2)}, () => {
				synced.push(value);
			});
		}

		await waitForWrites();
		await waitForWrites();
		first.log.writeSnapshot({count: 100});
		first.log.append('after');
		await first.log.close();
		await first.dataFolder.close();
		assert.equal(synced.length, 100);
		assert.equal(first.metrics.getCount('storage-synced'), 2);
		const second = await openLog(fileSystem);
		assert.deepEqual(second.log.getSnapshot(), {count: 100});
		assert.deepEqual(second.log.getRecords(), ['after']);
		assert.deepEqual([...fileSystem.files.keys()].toSorted(), ['/data/manifest', '/data/register-0000000000000100.snapshot', '/data/register-0000000000000101.log']);
	});

	it('publishes a snapshot only after the records that it includes are durable, and accepts appends meanwhile', async context => {
		const fileSystem = new FaultyFileSystem();
		context.after(() => {
			fileSystem.blockedSyncPaths = undefined;
		});
		const {log} = await openLog(fileSystem);
		const hasSnapshot = () => [...fileSystem.files.keys()].some(path => path.endsWith('.snapshot'));
		log.writeSnapshotInParts((function * () {
			fileSystem.blockedSyncPaths = /\.log$/v;
			log.append('late');
			yield 'includes late';
		})());
		await waitForWrites();
		assert.equal(hasSnapshot(), false);
		fileSystem.blockedSyncPaths = /\.snapshot/v;
		await waitForWrites();
		await new Promise<void>(resolve => {
			log.append('durable during a slow snapshot', resolve);
		});
		fileSystem.blockedSyncPaths = undefined;
		await waitForWrites();
		assert.equal(hasSnapshot(), true);
	});

	it('truncates an incomplete last frame and reports it', async () => {
		const fileSystem = await createFileSystemWithLog(['a', 'b']);
		fileSystem.damageFile(logPath, bytes => bytes.slice(0, -1));
		const {log, events} = await openLog(fileSystem);
		assert.deepEqual(log.getRecords(), ['a']);
		assert.deepEqual(events.events.map(event => event.name), ['storage-tail-truncated']);
	});

	const damages: Array<{name: string; damage: (fileSystem: FaultyFileSystem) => void; expected: RegExp}> = [
		{
			name: 'flipped bits in the first record',
			damage(fileSystem) {
				fileSystem.damageFile(logPath, flipBits(bytes => bytes.length - 25));
			},
			expected: /register-0{15}1\.log at offset \d+: .*damaged/v,
		},
		{
			name: 'flipped bits in the length of the first record',
			damage(fileSystem) {
				fileSystem.damageFile(logPath, flipBits(bytes => bytes.length - 43));
			},
			expected: /at offset \d+: .*damaged/v,
		},
		{
			name: 'an unknown version',
			damage(fileSystem) {
				fileSystem.damageFile(logPath, flipBits(() => 7));
			},
			expected: /at offset 7: format version 254 .*upgrade one release at a time/v,
		},
		{
			name: 'a damaged header',
			damage(fileSystem) {
				fileSystem.damageFile(logPath, flipBits(() => 12));
			},
			expected: /at offset 0: .*damaged/v,
		},
		{
			name: 'a missing log file',
			damage(fileSystem) {
				fileSystem.files.delete(logPath);
			},
			expected: /register-0{15}1\.log: the file is missing/v,
		},
		{
			name: 'a missing manifest',
			damage(fileSystem) {
				fileSystem.files.delete('/data/manifest');
			},
			expected: /manifest: .*missing/v,
		},
	];
	for (const {name, damage, expected} of damages) {
		it(`rejects a data folder with ${name}`, async () => {
			const fileSystem = await createFileSystemWithLog(['a', 'b']);
			damage(fileSystem);
			await assert.rejects(openLog(fileSystem), expected);
		});
	}

	it('rejects a log whose snapshot is missing or damaged', async () => {
		const snapshotPath = '/data/register-0000000000000002.snapshot';
		const fileSystem = await createFileSystemWithLog(['a', 'b', 'c'], 1);
		fileSystem.damageFile(snapshotPath, bytes => bytes.slice(0, -1));
		await assert.rejects(openLog(fileSystem), /register-0{15}2\.snapshot at offset \d+: .*damaged/v);
		fileSystem.files.delete(snapshotPath);
		await assert.rejects(openLog(fileSystem), /register-0{15}2\.snapshot: the file is missing/v);
	});

	// Guards against a daemon that goes on with a state that its log does not hold.
	it('fails once, and ignores further writes, if a record can\'t be encoded', async () => {
		const {log, failures, events} = await openLog(new FaultyFileSystem());
		const synced: string[] = [];
		let deep: unknown = 1;
		for (let level = 0; level < 100_000; level++) {
			deep = [deep];
		}

		const append = (name: string, record: unknown) => {
			log.append(record, () => {
				synced.push(name);
			});
		};

		append('before', 1);
		await waitForWrites();
		append('deep', deep);
		append('after', 1);
		log.writeSnapshot(deep);
		await waitForWrites();
		assert.deepEqual(synced, ['before']);
		assert.equal(failures.length, 1);
		assert.deepEqual(events.events.map(({name}) => name), ['storage-sync-failed']);
	});

	it('does not sync again after a failed sync', async () => {
		const fileSystem = new FaultyFileSystem();
		const {log, failures} = await openLog(fileSystem);
		const synced: string[] = [];
		fileSystem.shouldFailSync = true;
		log.append('lost', () => {
			synced.push('lost');
		});
		await waitForWrites();
		fileSystem.shouldFailSync = false;
		log.append('later', () => {
			synced.push('later');
		});
		await waitForWrites();
		assert.deepEqual(synced, []);
		assert.match(String(failures), /storage-failed|not retried/v);
		assert.equal(failures.length, 1);
	});

	it('reports a full disk and keeps all acknowledged records', async () => {
		const fileSystem = new FaultyFileSystem();
		const {log, failures} = await openLog(fileSystem);
		log.append('kept');
		await waitForWrites();
		fileSystem.freeBytes = 5;
		log.append('refused', () => assert.fail('was acknowledged'));
		await waitForWrites();
		assert.match(failures[0]!.message, /disk is full/v);
		const reopened = await openLog(fileSystem.crash(createSeededRandomSource(1)));
		assert.deepEqual(reopened.log.getRecords(), ['kept']);
	});

	it('keeps all acknowledged records, whichever unsynced writes survive a crash', async () => {
		const steps = fc.array(fc.constantFrom<CrashStep>('append', 'settle', 'snapshot', 'snapshot-in-parts', 'crash'), {maxLength: 40});
		await fc.assert(fc.asyncProperty(steps, fc.integer(), async (schedule, seed) => runCrashSchedule(schedule, seed)), {numRuns: 300});
	});

	it('fails that check when the disk ignores syncs', async () => {
		await assert.rejects(runCrashSchedule(['append', 'settle', 'crash', 'append', 'settle', 'append', 'settle', 'crash'], 3, true));
	});
});

type CrashStep = 'append' | 'settle' | 'snapshot' | 'snapshot-in-parts' | 'crash';

/** Yields two parts; the last one includes records that are appended while the snapshot is written. */
function * getParts(position: number, state: {appended: number}): Iterable<number> {
	yield position;
	yield state.appended;
}

async function runCrashSchedule(schedule: readonly CrashStep[], seed: number, shouldIgnoreSyncs = false): Promise<void> {
	const random = createSeededRandomSource(seed);
	const state = {fileSystem: new FaultyFileSystem(), appended: 0, acknowledged: 0};
	state.fileSystem.shouldIgnoreSyncs = shouldIgnoreSyncs;
	let {log} = await openLog(state.fileSystem);
	const steps: Record<CrashStep, () => Promise<void>> = {
		async append() {
			const value = ++state.appended;
			const usedFileSystem = state.fileSystem;
			log.append(value, () => {
				state.acknowledged = usedFileSystem === state.fileSystem ? value : state.acknowledged;
			});
		},
		settle: waitForWrites,
		async snapshot() {
			log.writeSnapshot(state.appended);
		},
		async 'snapshot-in-parts'() {
			log.writeSnapshotInParts(getParts(state.appended, state));
		},
		async crash() {
			for (let turn = random.getInteger(0, 12); turn > 0; turn--) {
				// eslint-disable-next-line no-await-in-loop -- The crash occurs between any two steps.
				await Promise.resolve();
			}

			state.fileSystem = state.fileSystem.crash(random);
			({log} = await openLog(state.fileSystem));
			const snapshot = log.getSnapshot();
			const [position, shown] = Array.isArray(snapshot) ? snapshot.map(Number) : [0, 0];
			assert.ok(shown! <= Number(log.getRecords().at(-1) ?? position), 'a snapshot includes only durable records');
			const found = Number(log.getRecords().at(-1) ?? (Array.isArray(snapshot) ? snapshot.at(-1) : snapshot) ?? 0);
			assert.ok(found >= state.acknowledged && found <= state.appended, `acknowledged ${state.acknowledged}, found ${found} of ${state.appended}`);
			state.appended = found;
			state.acknowledged = found;
		},
	};
	for (const step of [...schedule, 'crash'] as const) {
		// eslint-disable-next-line no-await-in-loop -- The steps run in sequence.
		await steps[step]();
	}
}
