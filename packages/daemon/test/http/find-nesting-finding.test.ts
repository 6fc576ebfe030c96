import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findNestingFinding} from '../../src/http/find-nesting-finding.js';

describe('findNestingFinding', () => {
	const rows: Array<{text: string; column: number | undefined}> = [
		{text: '[[]]', column: undefined},
		{text: '[[[]]]', column: 3},
		{text: '{"a":{"b":{}}}', column: 11},
		{text: String.raw`["[[[[", "\"[[["]`, column: undefined},
		{text: '[[],[],[]]', column: undefined},
	];
	for (const {text, column} of rows) {
		it(`${text} gives column ${column ?? 'none'}`, () => {
			assert.equal(findNestingFinding(new TextEncoder().encode(text), 2)?.place.column, column);
		});
	}
});
