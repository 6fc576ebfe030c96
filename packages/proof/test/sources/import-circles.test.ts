import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {dirname, join, relative} from 'node:path';
import {describe, it} from 'node:test';
import {findImportCircles, type ImportGraph} from './find-import-circles.js';

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

describe('findImportCircles', () => {
	const cases: Array<{name: string; graph: Record<string, string[]>; circles: string[][]}> = [
		{name: 'a chain', graph: {a: ['b'], b: ['c'], c: []}, circles: []},
		{name: 'two files', graph: {a: ['b'], b: ['a']}, circles: [['a', 'b']]},
		{
			name: 'three files and one beside them', graph: {
				a: ['b'], b: ['c'], c: ['a'], d: ['a'],
			}, circles: [['a', 'b', 'c']],
		},
		{
			name: 'two circles', graph: {
				a: ['b'], b: ['a', 'c'], c: ['d'], d: ['c'],
			}, circles: [['a', 'b'], ['c', 'd']],
		},
	];
	for (const {name, graph, circles} of cases) {
		it(`${name} → ${circles.length} circles`, () => {
			assert.deepEqual(findImportCircles(new Map(Object.entries(graph))), circles);
		});
	}
});

describe('sources', () => {
	const graph = readImportGraph();
	it('are found', () => {
		assert.ok(graph.size > 300, `${graph.size} files`);
	});

	it('import each other in no circle', () => {
		assert.deepEqual(findImportCircles(graph), []);
	});
});
