import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {RecordingEventLog} from '@camphortack/testkit';
import {openHintFile} from '../../src/index.js';
import {FaultyFileSystem} from '../support/faulty-file-system.js';

const path = '/data/hints.json';

async function writeAndReopen(fileSystem: FaultyFileSystem, values: unknown[]): Promise<{found: unknown; failures: unknown[]}> {
	const events = new RecordingEventLog();
	const file = await openHintFile({fileSystem, path, events});
	for (const value of values) {
		file.setValue(value);
	}

	await file.flush();
	const diskAfterCrash = fileSystem.crash(createSeededRandomSource(1));
	const reopened = await openHintFile({fileSystem: diskAfterCrash, path, events});
	return {found: reopened.findValue(), failures: events.events.map(({fields}) => fields.operation)};
}

describe('openHintFile', () => {
	const cases: Array<{name: string; values: unknown[]; prepare?: (fileSystem: FaultyFileSystem) => void; found: unknown; failures: unknown[]}> = [
		{
			name: 'nothing set', values: [], found: undefined, failures: [],
		},
		{
			name: 'one value, then a crash', values: [{term: 7}], found: {term: 7}, failures: [],
		},
		{
			name: 'several values at once', values: [{term: 7}, {term: 8}, {term: 9}], found: {term: 9}, failures: [],
		},
		{
			name: 'a full disk',
			values: [{term: 7}],
			prepare(fileSystem) {
				fileSystem.freeBytes = 0;
			},
			found: undefined,
			failures: ['write'],
		},
	];
	for (const {name, values, prepare, found, failures} of cases) {
		it(`${name} → ${JSON.stringify(found)}`, async () => {
			const fileSystem = new FaultyFileSystem();
			await fileSystem.createFolder();
			prepare?.(fileSystem);
			assert.deepEqual(await writeAndReopen(fileSystem, values), {found, failures});
		});
	}

	it('treats a file that is not JSON as missing, and logs it', async () => {
		const fileSystem = new FaultyFileSystem();
		const events = new RecordingEventLog();
		const file = await openHintFile({fileSystem, path, events});
		file.setValue({term: 7});
		await file.flush();
		fileSystem.damageFile(path, bytes => bytes.slice(2));
		const reopened = await openHintFile({fileSystem, path, events});
		assert.equal(reopened.findValue(), undefined);
		assert.deepEqual(events.events.map(({name}) => name), ['hint-file-failed']);
	});
});
