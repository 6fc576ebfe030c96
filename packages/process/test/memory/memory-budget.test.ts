import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {createMemoryBudget, type MemoryBudget} from '../../src/index.js';

const maxBytes = 1000;

type Test = {
	budget: MemoryBudget;
	timers: VirtualTimers;
	evicted: string[];
	/** Adds a holder that may be evicted. Returns whether there was room. */
	hold(name: string, sizeBytes: number): boolean;
};

function setUp(): Test {
	const timers = new VirtualTimers();
	const budget = createMemoryBudget({maxBytes, timers});
	const evicted: string[] = [];
	return {
		budget,
		timers,
		evicted,
		hold(name, sizeBytes) {
			const reservation = budget.reserve(sizeBytes);
			reservation?.setEvictable(() => {
				evicted.push(name);
			});
			return reservation !== undefined;
		},
	};
}

describe('createMemoryBudget', () => {
	it('refuses what does not fit if nobody may be evicted', () => {
		const {budget} = setUp();
		const first = budget.reserve(900)!;
		assert.equal(budget.reserve(101), undefined);
		assert.equal(first.resize(1001), false);
		assert.equal(budget.getUsedBytes(), 900);
		first.release();
		assert.notEqual(budget.reserve(1000), undefined);
	});

	it('evicts nobody for what does not fit in any case', () => {
		const {budget, hold, evicted} = setUp();
		budget.reserve(500);
		hold('small', 100);
		assert.equal(budget.reserve(600), undefined);
		assert.deepEqual(evicted, []);
	});

	// Guards against a budget that a crowd holds, so that ordinary callers are refused until it leaves.
	it('makes room for an ordinary body while a crowd holds the budget', () => {
		const {timers, hold, evicted} = setUp();
		for (let number = 0; number < 10; number++) {
			hold(`crowd-${number}`, 100);
		}

		timers.advance(50);
		assert.equal(hold('ordinary', 5), true);
		assert.ok(!evicted.includes('ordinary') && evicted.length > 0);
	});

	const rows: Array<{title: string; holders: Array<{name: string; sizeBytes: number; ageMs: number}>; expected: string}> = [
		{
			title: 'a slow honest body before a crowd of large ones',
			holders: [{name: 'honest', sizeBytes: 4, ageMs: 3000}, {name: 'crowd', sizeBytes: 258, ageMs: 60}],
			expected: 'crowd',
		},
		{
			title: 'a new large body before older ones of the same size',
			holders: [{name: 'new', sizeBytes: 258, ageMs: 5}, {name: 'old', sizeBytes: 258, ageMs: 400}],
			expected: 'old',
		},
		{
			title: 'an ordinary body before small ones that never end',
			holders: [{name: 'ordinary', sizeBytes: 8, ageMs: 2}, {name: 'crowd', sizeBytes: 8, ageMs: 5000}],
			expected: 'crowd',
		},
	];
	for (const {title, holders, expected} of rows) {
		it(`spares ${title}`, () => {
			const {budget, timers, hold, evicted} = setUp();
			let elapsedMs = 0;
			for (const {name, sizeBytes, ageMs} of holders.toSorted((left, right) => right.ageMs - left.ageMs)) {
				const startMs = 10_000 - ageMs;
				timers.advance(startMs - elapsedMs);
				elapsedMs = startMs;
				hold(name, sizeBytes);
			}

			timers.advance(10_000 - elapsedMs);
			budget.evictOne();
			assert.deepEqual(evicted, [expected]);
		});
	}

	it('does not evict who has been released, or must not be evicted any more', () => {
		const {budget, evicted} = setUp();
		const released = budget.reserve(400)!;
		released.setEvictable(() => {
			evicted.push('released');
		});
		released.release();
		const complete = budget.reserve(400)!;
		complete.setEvictable(() => {
			evicted.push('complete');
		});
		complete.setEvictable(undefined);
		assert.equal(budget.evictOne(), false);
		assert.deepEqual(evicted, []);
		assert.equal(budget.getUsedBytes(), 400);
	});
});
