import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {it} from 'node:test';
import {createCli, exitCodes, getCommandLinePage} from '../../src/index.js';

it('docs/COMMAND-LINE.md is up to date with the commands', () => {
	const page = readFileSync(new URL('../../../../docs/COMMAND-LINE.md', import.meta.url), 'utf8');
	assert.equal(page, getCommandLinePage());
});

it('every command has a description, an example and --json, and the page lists all exit codes', () => {
	for (const definition of createCli().definitions()) {
		assert.ok(definition.description !== undefined && (definition.examples ?? []).length > 0, definition.path);
		assert.ok(definition.options.some(option => option.definition === '--json'), definition.path);
	}

	const listed = [...getCommandLinePage().matchAll(/^\| (?<code>\d) \|/gmv)].map(match => Number(match.groups!.code));
	assert.deepEqual(listed, Object.values(exitCodes));
});
