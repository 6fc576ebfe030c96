import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {dirname, join, relative} from 'node:path';
import {describe, it} from 'node:test';
import {findImportCycles, type ImportGraph} from './find-import-cycles.js';

const rootPath = new URL('../../../..', import.meta.url).pathname;
const sourceFolders = ['packages', 'platform'];
const skippedFolders = new Set(['node_modules', 'dist', 'test']);

function getSourcePaths(folder: string): string[] {
	return readdirSync(folder, {withFileTypes: true}).flatMap(entry => {
		const path = join(folder, entry.name);
		if (entry.isDirectory()) {
			return skippedFolders.has(entry.name) ? [] : getSourcePaths(path);
		}

		return entry.name.endsWith('.ts') ? [path] : [];
	});
}

function getImports(path: string): string[] {
	const imports = readFileSync(path, 'utf8').matchAll(/from '(\.[^']+)\.js'/gv);
	return [...imports].map(([, target]) => relative(rootPath, join(dirname(path), `${target}.ts`)));
}

function readImportGraph(): ImportGraph {
	const paths = sourceFolders.flatMap(folder => getSourcePaths(join(rootPath, folder)));
	return new Map(paths.map(path => [relative(rootPath, path), getImports(path)]));
}

describe('findImportCycles', () => {
	const cases: Array<{name: string; graph: Record<string, string[]>; cycles: string[][]}> = [
		{name: 'a chain', graph: {a: ['b'], b: ['c'], c: []}, cycles: []},
		{name: 'two files', graph: {a: ['b'], b: ['a']}, cycles: [['a', 'b']]},
		{
			name: 'three files, and one that is not part of the cycle', graph: {
				a: ['b'], b: ['c'], c: ['a'], d: ['a'],
			}, cycles: [['a', 'b', 'c']],
		},
		{
			name: 'two cycles', graph: {
				a: ['b'], b: ['a', 'c'], c: ['d'], d: ['c'],
			}, cycles: [['a', 'b'], ['c', 'd']],
		},
	];
	for (const {name, graph, cycles} of cases) {
		it(`${name} → ${cycles.length} cycles`, () => {
			assert.deepEqual(findImportCycles(new Map(Object.entries(graph))), cycles);
		});
	}
});

describe('sources', () => {
	const graph = readImportGraph();
	it('are found', () => {
		assert.ok(graph.size > 300, `${graph.size} files`);
	});

	it('have no import cycles', () => {
		assert.deepEqual(findImportCycles(graph), []);
	});
});
