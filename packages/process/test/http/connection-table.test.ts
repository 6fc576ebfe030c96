import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createConnectionTable, type ConnectionTable} from '../../src/index.js';

type Test = {
	table: ConnectionTable<string>;
	closed: string[];
	/** The connections whose requests can be ended. */
	endable: string[];
};

function setUp(names: readonly string[]): Test {
	const closed: string[] = [];
	const endable: string[] = [];
	const table = createConnectionTable<string>({
		maxCount: 3,
		close(name) {
			closed.push(name);
		},
		endRequest() {
			const name = endable.shift();
			if (name !== undefined) {
				table.setState(name, 'closing');
			}

			return name !== undefined;
		},
	});
	for (const name of names) {
		assert.equal(table.add(name), true);
	}

	return {table, closed, endable};
}

describe('createConnectionTable', () => {
	const rows: Array<{title: string; states: Array<['closing' | 'idle' | 'busy', string]>; endable?: string[]; expected: string[]; isAdded: boolean}> = [
		{
			title: 'the oldest of those that have sent nothing', states: [], expected: ['a'], isAdded: true,
		},
		{
			title: 'one that has sent nothing before one that was served', states: [['busy', 'a'], ['idle', 'a']], expected: ['b'], isAdded: true,
		},
		{
			title: 'the one that has been idle for the longest', states: [['idle', 'c'], ['idle', 'a'], ['idle', 'b']], expected: ['c'], isAdded: true,
		},
		{
			title: 'one that is about to be closed anyway', states: [['closing', 'c']], expected: ['c'], isAdded: true,
		},
		{
			title: 'one whose request can be ended', states: [['busy', 'a'], ['busy', 'b'], ['busy', 'c']], endable: ['b'], expected: ['b'], isAdded: true,
		},
		{
			title: 'none that has an open request', states: [['busy', 'a'], ['busy', 'b'], ['busy', 'c']], expected: [], isAdded: false,
		},
	];
	for (const {title, states, endable = [], expected, isAdded} of rows) {
		it(`closes ${title}`, () => {
			const test = setUp(['a', 'b', 'c']);
			for (const [state, name] of states) {
				test.table.setState(name, state);
			}

			test.endable.push(...endable);
			assert.deepEqual([test.table.add('d'), test.closed], [isAdded, expected]);
			assert.equal(test.table.getCount(), 3);
		});
	}

	it('has room again when a connection has ended', () => {
		const {table, closed} = setUp(['a', 'b', 'c']);
		table.remove('a');
		table.remove('a');
		assert.equal(table.add('d'), true);
		assert.deepEqual(closed, []);
	});
});
