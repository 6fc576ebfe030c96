import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPoolLoads} from '../../src/placement/pool-loads.js';

const maxLoadsPerMessage = 16;

function createLoads(areSlotsUsable: boolean, poolCount = 1) {
	return createPoolLoads({
		table: {
			getPools: () => Array.from({length: poolCount}, (_, position) => `pool-${position}`),
			getSlotCount: () => 8,
			getFreeSlotCount: () => 3,
		},
		queues: {getTaskCount: () => 5},
		areSlotsUsable: () => areSlotsUsable,
	});
}

describe('createPoolLoads', () => {
	it('returns the slots and the queue of a pool', () => {
		assert.deepEqual(createLoads(true).getLoad('quotes'), {
			pool: 'quotes', slots: 8, freeSlots: 3, queuedTasks: 5,
		});
	});

	it('counts no slots that are not usable', () => {
		assert.deepEqual(createLoads(false).getLoad('quotes'), {
			pool: 'quotes', slots: 0, freeSlots: 0, queuedTasks: 5,
		});
	});

	it('returns as many loads as fit in one message', () => {
		assert.equal(createLoads(true, 100).getAllLoads().length, maxLoadsPerMessage);
	});
});
