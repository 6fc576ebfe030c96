import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {ServerIncarnation} from '@camphortack/placement';
import {getIncarnationKey, getIncarnationsDigest} from '../../src/registry/get-incarnations-digest.js';
import {createServerDescription} from '../support/create-server-description.js';

const first = {id: 'first', bornMs: 1};
const second = {id: 'second', bornMs: 1};

describe('getIncarnationsDigest', () => {
	const rows: Array<{title: string; left: ServerIncarnation[]; right: ServerIncarnation[]; isSame: boolean}> = [
		// Guards against a record that is requested although the placer has all of it, because the two list it in different orders.
		{
			title: 'the same incarnations in another order', left: [first, second], right: [second, first], isSame: true,
		},
		{
			title: 'no incarnations', left: [], right: [], isSame: true,
		},
		// Guards against a search for runs that leaves out an incarnation which only the entry daemon has recorded.
		{
			title: 'one more', left: [first], right: [first, second], isSame: false,
		},
		{
			title: 'none and one', left: [], right: [first], isSame: false,
		},
		// Guards against a claim of an earlier incarnation that counts for the recorded one.
		{
			title: 'a later incarnation under the same id', left: [first], right: [{...first, bornMs: 2}], isSame: false,
		},
		// Guards against numbers that run into the end of an id.
		{
			title: 'an id that ends with the number of another one', left: [{id: 'a1', bornMs: 2}], right: [{id: 'a', bornMs: 12}], isSame: false,
		},
		{
			title: 'the fields of a description besides', left: [first], right: [createServerDescription('first')], isSame: true,
		},
	];
	for (const {title, left, right, isSame} of rows) {
		it(`${title} → ${isSame ? 'the same digest' : 'another digest'}`, () => {
			assert.equal(getIncarnationsDigest(left) === getIncarnationsDigest(right), isSame);
		});
	}

	// Guards against a change of the order of its argument, which is a list that others hold.
	it('leaves the list as it is', () => {
		const servers = [second, first];
		getIncarnationsDigest(servers);
		assert.deepEqual(servers, [second, first]);
	});
});

describe('getIncarnationKey', () => {
	it('{id: "first", bornMs: 1} → "first 1"', () => {
		assert.equal(getIncarnationKey(first), 'first 1');
	});
});
