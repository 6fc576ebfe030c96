import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRecentIds} from '../../src/keeper/recent-ids.js';

describe('createRecentIds', () => {
	// Guards against memory that grows with each order during the term of a leader.
	it('keeps the newest ids only; one that is added again counts as new', () => {
		const ids = createRecentIds(3);
		for (const id of ['a', 'b', 'c', 'a', 'd']) {
			ids.add(id);
		}

		assert.deepEqual(['a', 'b', 'c', 'd'].map(id => ids.has(id)), [true, false, true, true]);
		ids.clear();
		assert.equal(ids.has('d'), false);
	});
});
