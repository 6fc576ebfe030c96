import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {VirtualTimers} from '@camphortack/testkit';
import {createTicketTable, parseTicket} from '@camphortack/register';

function createTable() {
	const timers = new VirtualTimers();
	const issuer = {availabilityZone: 'zone', daemonId: 'entry-1', incarnation: 'i1'};
	const random = createSeededRandomSource(3);
	const options = {
		issuer,
		timers,
		random,
		retentionMs: 80_000,
	};
	return {timers, options, table: createTicketTable(options)};
}

describe('createTicketTable', () => {
	it('starts a ticket once, and again only after its release', () => {
		const {table} = createTable();
		const [first, second] = table.issueTickets(2).map(id => parseTicket(id)!);
		assert.equal(table.claimTicket(first!, 'a'), 'start');
		assert.equal(table.claimTicket(first!, 'a'), 'started');
		assert.equal(table.claimTicket(first!, 'b'), 'conflict');
		assert.equal(table.claimTicket({...second!, check: 'AAAAAAAAAAAAAAAA'}, 'a'), 'forged');
		table.releaseTicket(first!);
		assert.equal(table.claimTicket(first!, 'b'), 'start');
	});

	it('drops expired tickets in bulk and never starts them again', () => {
		const {table, timers} = createTable();
		const tickets = table.issueTickets(1000).map(id => parseTicket(id)!);
		for (const ticket of tickets) {
			table.claimTicket(ticket, 'a');
		}

		timers.advance(79_000);
		assert.equal(table.claimTicket(tickets[0]!, 'a'), 'started');
		timers.advance(12_000);
		assert.equal(table.getStartedCount(), 0);
		assert.equal(table.claimTicket(tickets[0]!, 'a'), 'expired');
	});

	it('starts no ticket after being fenced, while the adopted table continues', () => {
		const {table, options} = createTable();
		const [used, unused] = table.issueTickets(2).map(id => parseTicket(id)!);
		table.claimTicket(used!, 'a');
		table.fence();
		const adopted = createTicketTable({...options, snapshot: table.getSnapshot()});
		assert.equal(table.claimTicket(unused!, 'a'), 'fenced');
		assert.equal(adopted.claimTicket(used!, 'a'), 'started');
		assert.equal(adopted.claimTicket(unused!, 'a'), 'start');
	});
});
