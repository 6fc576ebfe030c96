import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSizeShares} from '../../src/queue/create-size-shares.js';
import {getSizePlace, type SizeState} from '../../src/queue/get-size-place.js';

const state: SizeState = {
	bounds: {largest: 2, second: 1.4}, servedShares: {largest: 0.3, second: 0.7}, queueServedShare: 0.8, debt: 0,
};

describe('getSizePlace', () => {
	const rows: Array<{title: string; state?: Partial<SizeState>; relativeWork: number; expected: ReturnType<typeof getSizePlace>}> = [
		{title: 'one of the largest, served too rarely', relativeWork: 2.5, expected: {sizeClass: 'largest', orderedWork: 1.4, standing: 'preferred'}},
		{
			title: 'one of the largest, served half as often as its queue',
			state: {servedShares: {largest: 0.4, second: 0.7}},
			relativeWork: 2.5,
			expected: {sizeClass: 'largest', orderedWork: 2.5, standing: 'usual'},
		},
		{title: 'one of the second class, served often enough', relativeWork: 1.5, expected: {sizeClass: 'second', orderedWork: 1.5, standing: 'usual'}},
		{
			title: 'one of the second class, served too rarely',
			state: {servedShares: {largest: 0.4, second: 0.3}},
			relativeWork: 1.5,
			expected: {sizeClass: 'second', orderedWork: 1, standing: 'preferred'},
		},
		{title: 'a medium-sized job while nothing is owed', relativeWork: 1, expected: {sizeClass: 'other', orderedWork: 1, standing: 'usual'}},
		{
			title: 'a medium-sized job in exchange', state: {debt: 1.2}, relativeWork: 1, expected: {sizeClass: 'other', orderedWork: 2, standing: 'deferred'},
		},
		{
			title: 'a small job', state: {debt: 20}, relativeWork: 0.5, expected: {sizeClass: 'other', orderedWork: 0.5, standing: 'usual'},
		},
	];
	for (const {title, state: changes, relativeWork, expected} of rows) {
		it(`${title} → ${expected.standing}`, () => {
			const place = getSizePlace({...state, ...changes}, relativeWork);
			assert.deepEqual({...place, orderedWork: Number(place.orderedWork.toFixed(3))}, expected);
		});
	}
});

describe('createSizeShares', () => {
	// Guards against a changed order where nothing is short: every place must be by work as long as all jobs are served.
	it('orders all jobs by their work while all are served', () => {
		const shares = createSizeShares();
		for (const relativeWork of Array.from({length: 200}, (_, position) => 0.1 + (position % 30 / 10))) {
			const place = shares.addJob('quotes', relativeWork);
			assert.equal(place.orderedWork, relativeWork);
			shares.addStart('quotes', relativeWork, place);
			shares.addEnd('quotes', place, true);
		}
	});

	// Guards against a debt that is never given back, or that one queue pays for another.
	it('defers medium-sized jobs of the same queue only, until the work is given back', () => {
		const shares = createSizeShares();
		for (let count = 0; count < 20; count++) {
			shares.addEnd('quotes', {sizeClass: 'largest', orderedWork: 3, standing: 'usual'}, false);
			shares.addEnd('quotes', {sizeClass: 'other', orderedWork: 1, standing: 'usual'}, true);
		}

		const place = shares.addJob('quotes', 3);
		assert.equal(place.standing, 'preferred');
		shares.addStart('quotes', 3, place);
		assert.equal(shares.addJob('reports', 1).standing, 'usual');
		assert.deepEqual([1, 1, 1].map(work => shares.addJob('quotes', work).standing), ['deferred', 'usual', 'usual']);
	});
});
