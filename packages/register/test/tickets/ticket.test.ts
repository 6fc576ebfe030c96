import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTicket, isGenuineTicket, parseTicket} from '@camphortack/register';

const owner = {availabilityZone: 'graz:a.1', daemonId: 'entry-1', incarnation: '5f3a'};

describe('parseTicket', () => {
	it('parses what createTicket creates', () => {
		const {check, ...ticket} = parseTicket(createTicket(owner, 1234, 'secret'))!;
		assert.deepEqual(ticket, {...owner, number: 1234});
		assert.equal(check.length, 16);
	});

	for (const id of ['quote-17', 't1:a:b', 't1:5f3a:1:short:1:ab', 't1:5f3a:1:0123456789abcdef:2:ab', '']) {
		it(`treats "${id}" as a caller-chosen id`, () => {
			assert.equal(parseTicket(id), undefined);
		});
	}
});

describe('isGenuineTicket', () => {
	const ticket = parseTicket(createTicket(owner, 7, 'secret'))!;
	const rows = [
		{name: 'the ticket itself', changed: ticket, expected: true},
		{name: 'another number', changed: {...ticket, number: 8}, expected: false},
		{name: 'another incarnation', changed: {...ticket, incarnation: '5f3b'}, expected: false},
		{name: 'another check', changed: {...ticket, check: 'AAAAAAAAAAAAAAAA'}, expected: false},
	];
	for (const {name, changed, expected} of rows) {
		it(`returns ${expected} for ${name}`, () => {
			assert.equal(isGenuineTicket(changed, 'secret'), expected);
		});
	}
});

describe('createTicket', () => {
	it('throws an error if the names are too long', () => {
		assert.throws(() => createTicket({...owner, daemonId: 'd'.repeat(100)}, 1, 'secret'), /shorter names/v);
	});
});
