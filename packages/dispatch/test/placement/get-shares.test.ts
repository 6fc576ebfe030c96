import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {getShares, type Capacity} from '../../src/placement/get-shares.js';

const capacity = (slots: number, room: number): Capacity => ({id: `${slots}/${room}`, slots, room});

/** Reference implementation: assigns one task at a time to the daemon with the fewest queued tasks per slot. */
function getReferenceShares(taskCount: number, capacities: readonly Capacity[]): number[] {
	const shares = capacities.map(() => 0);
	const getLevel = (index: number) => (shares[index]! + 1 - capacities[index]!.room) / capacities[index]!.slots;
	for (let task = 0; task < taskCount; task++) {
		const usable = [...capacities.keys()].filter(index => capacities[index]!.slots > 0);
		const best = usable.toSorted((left, right) => getLevel(left) - getLevel(right))[0];
		if (best !== undefined) {
			shares[best]!++;
		}
	}

	return shares;
}

describe('getShares', () => {
	const table: Array<[title: string, taskCount: number, capacities: Capacity[], expected: number[]]> = [
		['gives all tasks to one daemon that has room for them', 5, [capacity(8, 0), capacity(8, 6), capacity(8, 8)], [0, 5, 0]],
		['uses as few daemons as possible', 10, [capacity(8, 0), capacity(8, 3), capacity(8, 8)], [0, 2, 8]],
		['gives no tasks to a daemon without slots', 4, [capacity(0, 9), capacity(8, 0)], [0, 4]],
		['distributes nothing if no daemon has slots', 4, [capacity(0, 0)], [0]],
		['levels the queues', 12, [capacity(8, 0), capacity(8, -4), capacity(8, 0)], [5, 2, 5]],
	];
	for (const [title, tasks, capacities, expected] of table) {
		it(title, () => {
			const shares = getShares(tasks, capacities);
			assert.deepEqual(shares.map((share, index) => Math.abs(share - expected[index]!) <= 1), shares.map(() => true), shares.join(' '));
			assert.equal(sum(shares), sum(expected));
		});
	}

	it('distributes every task, and levels queues about as well as assigning one task at a time', () => {
		const capacities = fc.array(fc.record({
			id: fc.constant('daemon'), slots: fc.integer({min: 1, max: 64}), room: fc.integer({min: -60, max: 0}),
		}), {minLength: 1, maxLength: 12});
		fc.assert(fc.property(capacities, fc.integer({min: 1, max: 300}), (daemons, taskCount) => {
			const shares = getShares(taskCount, daemons);
			const reference = getReferenceShares(taskCount, daemons);
			assert.equal(sum(shares), taskCount);
			assert.ok(shares.every((share, index) => Math.abs(share - reference[index]!) <= daemons.length + 1), `${shares.join(' ')}; expected about ${reference.join(' ')}`);
		}), {seed: 7});
	});
});

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
