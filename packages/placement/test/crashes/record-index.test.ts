import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRecordIndex} from '../../src/crashes/record-index.js';

describe('createRecordIndex', () => {
	it('finds the records of a key until they are removed', () => {
		const index = createRecordIndex<{key: string; value: number}>(({key}) => key);
		const first = {key: 'a', value: 1};
		const second = {key: 'a', value: 2};
		index.add(first);
		index.add(second);
		index.add({key: 'b', value: 3});
		index.remove({key: 'a', value: 1});
		assert.deepEqual(index.get('a'), [first, second]);
		index.remove(first);
		assert.deepEqual(index.get('a'), [second]);
		index.remove(second);
		assert.deepEqual([index.get('a'), index.getKeys()], [[], ['b']]);
	});
});
