import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {z} from 'zod';
import {parseWithoutBadRows} from '../../src/index.js';

const schema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('registry'), digest: z.string().optional(), servers: z.array(z.object({id: z.string(), port: z.int().max(65_535)})), zones: z.array(z.string()).optional(),
	}),
	z.object({kind: z.literal('other'), servers: z.int()}),
]);

describe('parseWithoutBadRows', () => {
	const a = {id: 'a', port: 1};
	const b = {id: 'b', port: 2};
	const rows: Array<{title: string; value: unknown; expected: unknown; badRows: string[]}> = [
		{
			title: 'no bad row', value: {kind: 'registry', servers: [a, b]}, expected: {kind: 'registry', servers: [a, b]}, badRows: [],
		},
		{
			title: 'one bad row', value: {kind: 'registry', servers: [a, {id: 'x', port: 99_999}, b]}, expected: {kind: 'registry', servers: [a, b]}, badRows: ['servers 1 port: '],
		},
		{
			title: 'a row with two bad fields', value: {kind: 'registry', servers: [{id: 1, port: 'x'}, a]}, expected: {kind: 'registry', servers: [a]}, badRows: ['servers 0 id: '],
		},
		{
			title: 'rows that are no objects',

			value: {kind: 'registry', servers: [null, a, 7, [[[]]]]},
			expected: {kind: 'registry', servers: [a]},
			badRows: ['servers 0 Invalid', 'servers 2 Invalid', 'servers 3 Invalid'],
		},
		{
			title: 'only bad rows', value: {kind: 'registry', servers: [7]}, expected: {kind: 'registry', servers: []}, badRows: ['servers 0 Invalid'],
		},
		{
			title: 'a bad row of a list that must be complete', value: {kind: 'registry', servers: [a], zones: [7]}, expected: undefined, badRows: [],
		},
		{
			title: 'a bad row and a bad field', value: {kind: 'registry', digest: 7, servers: [7, a]}, expected: undefined, badRows: [],
		},
		{
			title: 'no list', value: {kind: 'registry', servers: 7}, expected: undefined, badRows: [],
		},
		{
			title: 'an unknown kind', value: {kind: 'x', servers: [7]}, expected: undefined, badRows: [],
		},
		{
			title: 'no object', value: 'x', expected: undefined, badRows: [],
		},
	];
	for (const {title, value, expected, badRows} of rows) {
		it(`${title} → ${JSON.stringify(expected)}, ${badRows.length} bad rows`, () => {
			const result = parseWithoutBadRows(schema, value, ['servers']);
			assert.deepEqual(result.success ? result.data : undefined, expected);
			const texts = result.success ? result.badRows.map(({list, index, reason}) => `${list} ${index} ${reason}`) : [];
			assert.equal(texts.length, badRows.length);
			for (const [position, text] of texts.entries()) {
				assert.ok(text.startsWith(badRows[position]!), text);
			}
		});
	}
});
