import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findNearestName} from '../../src/index.js';

describe('findNearestName', () => {
	const rows: Array<{name: string; known: string[]; expected: string | undefined}> = [
		{name: 'prot', known: ['port', 'host'], expected: 'port'},
		{name: 'slot', known: ['slots', 'services'], expected: 'slots'},
		{name: 'completely-other', known: ['port', 'host'], expected: undefined},
		{name: 'x', known: [], expected: undefined},
	];
	for (const {name, known, expected} of rows) {
		it(`resolves ${name} among [${known.join(', ')}] to ${expected}`, () => {
			assert.equal(findNearestName(name, known), expected);
		});
	}
});
