import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import {isTokenAccepted} from '../../src/access/is-token-accepted.js';

describe('isTokenAccepted', () => {
	const hashes = ['first', 'second'].map(token => createHash('sha256').update(token).digest('hex'));
	const rows: Array<{authorization: string | undefined; expected: boolean}> = [
		{authorization: 'Bearer first', expected: true},
		{authorization: 'Bearer second', expected: true},
		{authorization: 'Bearer third', expected: false},
		{authorization: 'first', expected: false},
		{authorization: undefined, expected: false},
	];
	for (const {authorization, expected} of rows) {
		it(`${authorization ?? 'no header'} gives ${expected}`, () => {
			assert.equal(isTokenAccepted(authorization, hashes), expected);
		});
	}
});
