import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Job} from '@camphortack/core';
import {getContentHash} from '@camphortack/register';

const job: Job = {
	id: 'quote-1',
	customer: 'studio',
	service: 'quote',
	deadlineMs: 1000,
	idempotent: false,
	tasks: [{payload: {wood: 'walnut', coats: [1, 2]}}],
};

describe('getContentHash', () => {
	const rows: Array<{name: string; changed: Job; isSame: boolean}> = [
		{name: 'a different order of keys', changed: {...job, tasks: [{payload: {coats: [1, 2], wood: 'walnut'}}]}, isSame: true},
		{name: 'a different id and deadline', changed: {...job, id: 'quote-2', deadlineMs: 5}, isSame: true},
		{name: 'a different order of array elements', changed: {...job, tasks: [{payload: {wood: 'walnut', coats: [2, 1]}}]}, isSame: false},
		{name: 'a different customer', changed: {...job, customer: 'other'}, isSame: false},
		{name: 'a number as a string', changed: {...job, tasks: [{payload: {wood: 'walnut', coats: ['1', 2]}}]}, isSame: false},
		{name: 'an additional __proto__ key', changed: {...job, tasks: [{payload: {wood: 'walnut', coats: [1, 2], ['__proto__']: 1}}]}, isSame: false},
	];
	for (const {name, changed, isSame} of rows) {
		it(`${isSame ? 'is the same' : 'differs'} for ${name}`, () => {
			assert.equal(getContentHash(changed) === getContentHash(job), isSame);
		});
	}
});
