import assert from 'node:assert/strict';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {describe, it} from 'node:test';

const rootPath = new URL('../../../..', import.meta.url).pathname;
const listPath = join(rootPath, 'KNOWN-RED.txt');
const skippedFolders = new Set(['node_modules', 'dist']);
const todoPattern = /it\('(?<title>[^']+)', \{todo: 'KNOWN-RED\.txt'\}/gv;
/** Any other way to pass over a test. */
const skipPattern = /\b(?:it|describe|test)\.(?:skip|todo|only)\b|\b(?:skip|todo|only):(?! 'KNOWN-RED)/v;

function getTestPaths(folder: string): string[] {
	return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
		const path = join(folder, entry.name);
		if (entry.isDirectory()) {
			return skippedFolders.has(entry.name) ? [] : getTestPaths(path);
		}

		return entry.name.endsWith('.test.ts') ? [path] : [];
	});
}

/** Starts the name of a check that CI does not run, such as a long soak. */
const outsidePrefix = 'not in CI: ';

function getEntries(): Array<{title: string; command: string}> {
	const lines = existsSync(listPath) ? readFileSync(listPath, 'utf8').split('\n') : [];
	return lines.filter(line => line !== '' && !line.startsWith('#')).map(line => {
		const [title, command] = line.split(' | ');
		return {title: title!, command: command!};
	});
}

function getListedTitles(): string[] {
	return getEntries().map(({title}) => title).filter(title => !title.startsWith(outsidePrefix));
}

function getAllTestPaths(): string[] {
	return ['packages', 'platform'].flatMap(folder => getTestPaths(join(rootPath, folder)));
}

function getMarkedTitles(): string[] {
	return getAllTestPaths().flatMap(path => [...readFileSync(path, 'utf8').matchAll(todoPattern)].map(match => match.groups!.title!));
}

describe('KNOWN-RED.txt', () => {
	// Guards against tests that CI passes over although nobody listed them.
	it('lists exactly the tests that CI passes over', () => {
		assert.deepEqual(getMarkedTitles().toSorted(), getListedTitles().toSorted());
	});

	// Guards against a test of CI that is listed as if CI did not run it.
	it('lists checks outside CI only with commands that run no test file', () => {
		const commands = getEntries().filter(({title}) => title.startsWith(outsidePrefix)).map(({command}) => command);
		assert.deepEqual(commands.filter(command => command === '' || command.includes('.test.ts')), []);
	});

	it('is the only way to pass over a test', () => {
		assert.deepEqual(getAllTestPaths().filter(path => skipPattern.test(readFileSync(path, 'utf8'))), []);
	});
});
