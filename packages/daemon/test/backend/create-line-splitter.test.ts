import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createLineSplitter} from '../../src/backend/create-line-splitter.js';

describe('createLineSplitter', () => {
	const rows: Array<{chunks: string[]; expected: string[]}> = [
		{chunks: ['one\ntwo\n'], expected: ['one', 'two']},
		{chunks: ['o', 'ne\nt', 'wo'], expected: ['one', 'two']},
		{chunks: ['\n\n', 'one', '\n'], expected: ['one']},
		{chunks: [], expected: []},
	];
	for (const {chunks, expected} of rows) {
		it(`${JSON.stringify(chunks)} gives ${JSON.stringify(expected)}`, () => {
			const lines: string[] = [];
			const splitter = createLineSplitter(100, line => {
				lines.push(line);
			});
			for (const chunk of chunks) {
				splitter.addChunk(new TextEncoder().encode(chunk));
			}

			splitter.end();
			assert.deepEqual(lines, expected);
		});
	}

	it('throws on a line that exceeds the maximum length', () => {
		const splitter = createLineSplitter(3, () => undefined);
		assert.throws(() => {
			splitter.addChunk(new TextEncoder().encode('four'));
		}, RangeError);
	});
});
