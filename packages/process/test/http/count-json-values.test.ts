import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {countJsonValues} from '../../src/index.js';

function countValues(value: unknown): number {
	const children = typeof value === 'object' && value !== null ? Object.values(value) : [];
	return children.reduce<number>((sum, child) => sum + countValues(child), 1);
}

describe('countJsonValues', () => {
	const rows: Array<{text: string; expected: number}> = [
		{text: '1', expected: 1},
		{text: '{"a":[1,2],"b":"x,y"}', expected: 5},
		{text: String.raw`"a\",["`, expected: 1},
		{text: '[{},{}]', expected: 5},
	];
	for (const {text, expected} of rows) {
		it(`${text} → ${expected}`, () => {
			assert.equal(countJsonValues(Buffer.from(text)), expected);
		});
	}

	// Guards against a text with more values than the memory for them was reserved for.
	it('never counts fewer values than a text has', () => {
		fc.assert(fc.property(fc.jsonValue(), value => {
			assert.ok(countJsonValues(Buffer.from(JSON.stringify(value))) >= countValues(value));
		}));
	});
});
