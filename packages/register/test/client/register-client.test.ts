import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestJob} from '../support/register-schedules.js';
import {RegisterWorld} from '../support/register-world.js';

/** The harness refuses a job before its start if its deadline is a multiple of three. */
const deadlineMs = 20_000;

function createWorld(): RegisterWorld {
	return new RegisterWorld({seed: 9, hasNetworkFaults: false});
}

/** Submits a job and gets what its caller was told. */
function submit(world: RegisterWorld, daemonId: string, id: string, waitMs = 5000): string {
	world.submit(daemonId, createTestJob(id, 0, deadlineMs));
	world.timers.advance(waitMs);
	const answer = world.copies.at(-1)!.answers[0];
	if (answer?.kind === 'outcome') {
		const {outcome} = answer;
		return outcome.outcome === 'failed' ? `failed ${outcome.reason} ${outcome.tasks[0]?.state}` : outcome.outcome;
	}

	return answer === undefined ? 'waits' : `${answer.code} ${answer.notRun}`;
}

describe('createRegisterClient', () => {
	for (const isTicket of [true, false]) {
		const createId = (world: RegisterWorld) => isTicket ? world.issueTicket('d3')! : 'chosen';

		it(`gives the stored outcome of ${isTicket ? 'a ticket' : 'a chosen id'} after the death of the daemon that ran it`, () => {
			const world = createWorld();
			const id = createId(world);
			assert.equal(submit(world, 'd3', id), 'complete');
			world.kill('d3');
			world.timers.advance(1000);
			assert.equal(submit(world, 'd1', id), 'complete');
			assert.equal(world.starts.get(id), 1);
		});
	}

	it('fails a chosen id whose daemon died while it ran, and refuses such a ticket', () => {
		const world = createWorld();
		const ticket = world.issueTicket('d3')!;
		assert.equal(submit(world, 'd3', 'chosen', 10), 'waits');
		assert.equal(submit(world, 'd3', ticket, 10), 'waits');
		world.kill('d3');
		world.start('d3');
		world.timers.advance(1000);
		assert.equal(submit(world, 'd1', 'chosen'), 'failed daemon-lost may-have-run');
		assert.equal(submit(world, 'd3', ticket), 'ticket-owner-gone this-copy');
	});

	it('refuses a chosen id whose keeper is cut off, and goes on with tickets', () => {
		const world = createWorld();
		world.network.cutSides(['d3'], ['d1', 'd2']);
		assert.equal(submit(world, 'd3', 'chosen'), 'register-unreachable this-copy');
		assert.equal(submit(world, 'd3', world.issueTicket('d3')!), 'complete');
	});

	it('says that a forwarded ticket may have run if its issuer falls silent', () => {
		const world = createWorld();
		const ticket = world.issueTicket('d3')!;
		assert.equal(submit(world, 'd1', ticket, 2), 'waits');
		world.kill('d3');
		assert.equal(submit(world, 'd1', ticket), 'failed daemon-lost may-have-run');
	});

	it('never takes the answer to an earlier process for its own', () => {
		for (let seed = 1; seed <= 10; seed++) {
			const world = new RegisterWorld({seed, hasNetworkFaults: false});
			world.submit('d2', createTestJob('a', 0, deadlineMs));
			world.submit('d2', createTestJob('b', 1, deadlineMs));
			world.timers.advance(10);
			world.submit('d3', createTestJob('a', 0, deadlineMs));
			world.timers.advance(10);
			world.kill('d3');
			world.start('d3');
			world.submit('d3', createTestJob('b', 1, deadlineMs));
			world.timers.advance(5000);
			assert.deepEqual(world.violations, []);
		}
	});

	it('starts no ticket twice if the neighbour that took the tickets restarts while they are still sent', () => {
		const world = createWorld();
		const ticket = world.issueTicket('d2')!;
		world.stop('d2', 'd1');
		world.timers.advance(0.6);
		world.network.cutLink('d1', 'd2');
		assert.equal(submit(world, 'd1', ticket, 10), 'waits');
		world.kill('d1');
		world.start('d1');
		world.network.healLinks();
		world.timers.advance(2000);
		submit(world, 'd1', ticket);
		assert.equal(world.starts.get(ticket), 1);
	});

	it('starts unused tickets at the neighbour after a planned stop, and used ones never', () => {
		const world = createWorld();
		const used = world.issueTicket('d3')!;
		const unused = world.issueTicket('d3')!;
		assert.equal(submit(world, 'd3', used), 'complete');
		world.stop('d3', 'd1');
		world.timers.advance(5000);
		world.stop('d1', 'd2');
		world.timers.advance(5000);
		world.start('d3');
		world.timers.advance(1000);
		assert.deepEqual([world.isAlive('d1'), submit(world, 'd3', unused), world.starts.get(unused)], [false, 'complete', 1]);
		world.start('d1');
		world.timers.advance(1000);
		assert.deepEqual([submit(world, 'd3', used), world.starts.get(used)], ['complete', 1]);
	});
});
