import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {getShares, type Capacity} from '../../src/placement/get-shares.js';

const capacity = (slots: number, room: number): Capacity => ({id: `${slots}/${room}`, slots, room});

/** Gives one task at a time to the daemon with the fewest waiting tasks for each slot. */
function getSharesNaively(taskCount: number, capacities: readonly Capacity[]): number[] {
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
		['one daemon with room for all gets all', 5, [capacity(8, 0), capacity(8, 6), capacity(8, 8)], [0, 5, 0]],
		['as few daemons as possible', 10, [capacity(8, 0), capacity(8, 3), capacity(8, 8)], [0, 2, 8]],
		['no slots, no tasks', 4, [capacity(0, 9), capacity(8, 0)], [0, 4]],
		['nobody has slots', 4, [capacity(0, 0)], [0]],
		['queues are levelled', 12, [capacity(8, 0), capacity(8, -4), capacity(8, 0)], [5, 2, 5]],
	];
	for (const [title, tasks, capacities, expected] of table) {
		it(title, () => {
			const shares = getShares(tasks, capacities);
			assert.deepEqual(shares.map((share, index) => Math.abs(share - expected[index]!) <= 1), shares.map(() => true), shares.join(' '));
			assert.equal(sum(shares), sum(expected));
		});
	}

	it('places every task, and levels queues as well as one task at a time does', () => {
		const capacities = fc.array(fc.record({
			id: fc.constant('daemon'), slots: fc.integer({min: 1, max: 64}), room: fc.integer({min: -60, max: 0}),
		}), {minLength: 1, maxLength: 12});
		fc.assert(fc.property(capacities, fc.integer({min: 1, max: 300}), (daemons, taskCount) => {
			const shares = getShares(taskCount, daemons);
			const naive = getSharesNaively(taskCount, daemons);
			assert.equal(sum(shares), taskCount);
			assert.ok(shares.every((share, index) => Math.abs(share - naive[index]!) <= daemons.length + 1), `${shares.join(' ')} against ${naive.join(' ')}`);
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
