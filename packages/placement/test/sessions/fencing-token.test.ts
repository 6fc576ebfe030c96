import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {getFencingToken, maxClaimNumber, maxTerm} from '../../src/sessions/fencing-token.js';

const parts = fc.record({
	term: fc.integer({min: 0, max: 1_000_000}),
	claim: fc.integer({min: 0, max: 255}),
	daemonNumber: fc.integer({min: 0, max: (2 ** 24) - 1}),
});

describe('getFencingToken', () => {
	it('orders by term, then daemon number, then claim, and never gives two daemons the same token', () => {
		fc.assert(fc.property(parts, parts, (left, right) => {
			const difference = getFencingToken(left) - getFencingToken(right);
			const expected = left.term - right.term || left.daemonNumber - right.daemonNumber || left.claim - right.claim;
			assert.equal(Math.sign(difference), Math.sign(expected));
		}));
	});

	it('is always a safe integer', () => {
		fc.assert(fc.property(parts, value => Number.isSafeInteger(getFencingToken(value))));
	});

	// Guards against a term that the messages between daemons accept although its successor has no safe token.
	it('is a safe integer in the term after the highest one that is accepted', () => {
		assert.ok(Number.isSafeInteger(getFencingToken({term: maxTerm + 1, daemonNumber: (2 ** 24) - 1, claim: maxClaimNumber})));
	});
});
