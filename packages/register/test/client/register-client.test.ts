import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestJob} from '../support/register-schedules.js';
import {RegisterSimulation} from '../support/register-simulation.js';

/** Not a multiple of three: the simulation refuses jobs with such deadlines before their start. */
const deadlineMs = 20_000;

function createSimulation(): RegisterSimulation {
	return new RegisterSimulation({seed: 9, hasNetworkFaults: false});
}

/** Submits a job and describes the first answer to its caller. */
function submit(simulation: RegisterSimulation, daemonId: string, id: string, waitMs = 5000): string {
	simulation.submit(daemonId, createTestJob(id, 0, deadlineMs));
	simulation.timers.advance(waitMs);
	const answer = simulation.copies.at(-1)!.answers[0];
	if (answer?.kind === 'outcome') {
		const {outcome} = answer;
		return outcome.outcome === 'failed' ? `failed ${outcome.reason} ${outcome.tasks[0]?.state}` : outcome.outcome;
	}

	return answer === undefined ? 'waits' : `${answer.code} ${answer.notRun}`;
}

describe('createRegisterClient', () => {
	for (const isTicket of [true, false]) {
		const createId = (simulation: RegisterSimulation) => isTicket ? simulation.issueTicket('d3')! : 'chosen';

		it(`returns the stored outcome of ${isTicket ? 'a ticket' : 'a caller-chosen id'} after the daemon that ran it was killed`, () => {
			const simulation = createSimulation();
			const id = createId(simulation);
			assert.equal(submit(simulation, 'd3', id), 'complete');
			simulation.kill('d3');
			simulation.timers.advance(1000);
			assert.equal(submit(simulation, 'd1', id), 'complete');
			assert.equal(simulation.starts.get(id), 1);
		});
	}

	it('reports a caller-chosen id as failed if its daemon was killed during the run, and refuses a ticket in that case', () => {
		const simulation = createSimulation();
		const ticket = simulation.issueTicket('d3')!;
		assert.equal(submit(simulation, 'd3', 'chosen', 10), 'waits');
		assert.equal(submit(simulation, 'd3', ticket, 10), 'waits');
		simulation.kill('d3');
		simulation.start('d3');
		simulation.timers.advance(1000);
		assert.equal(submit(simulation, 'd1', 'chosen'), 'failed daemon-lost may-have-run');
		assert.equal(submit(simulation, 'd3', ticket), 'ticket-owner-gone this-copy');
	});

	it('refuses a caller-chosen id while its keeper is unreachable, but still accepts tickets', () => {
		const simulation = createSimulation();
		simulation.network.partitionPeers(['d3'], ['d1', 'd2']);
		assert.equal(submit(simulation, 'd3', 'chosen'), 'register-unreachable this-copy');
		assert.equal(submit(simulation, 'd3', simulation.issueTicket('d3')!), 'complete');
	});

	it('reports that a forwarded ticket may have run if its issuer is killed before it answers', () => {
		const simulation = createSimulation();
		const ticket = simulation.issueTicket('d3')!;
		assert.equal(submit(simulation, 'd1', ticket, 2), 'waits');
		simulation.kill('d3');
		assert.equal(submit(simulation, 'd1', ticket), 'failed daemon-lost may-have-run');
	});

	it('ignores answers to an earlier process of the same daemon', () => {
		for (let seed = 1; seed <= 10; seed++) {
			const simulation = new RegisterSimulation({seed, hasNetworkFaults: false});
			simulation.submit('d2', createTestJob('a', 0, deadlineMs));
			simulation.submit('d2', createTestJob('b', 1, deadlineMs));
			simulation.timers.advance(10);
			simulation.submit('d3', createTestJob('a', 0, deadlineMs));
			simulation.timers.advance(10);
			simulation.kill('d3');
			simulation.start('d3');
			simulation.submit('d3', createTestJob('b', 1, deadlineMs));
			simulation.timers.advance(5000);
			assert.deepEqual(simulation.violations, []);
		}
	});

	it('does not start a ticket twice if the successor restarts during the transfer of the tickets', () => {
		const simulation = createSimulation();
		const ticket = simulation.issueTicket('d2')!;
		simulation.stop('d2', 'd1');
		simulation.timers.advance(0.6);
		simulation.network.cutLink('d1', 'd2');
		assert.equal(submit(simulation, 'd1', ticket, 10), 'waits');
		simulation.kill('d1');
		simulation.start('d1');
		simulation.network.healLinks();
		simulation.timers.advance(2000);
		submit(simulation, 'd1', ticket);
		assert.equal(simulation.starts.get(ticket), 1);
	});

	it('starts unused tickets at the successor after a planned stop, but never used ones', () => {
		const simulation = createSimulation();
		const used = simulation.issueTicket('d3')!;
		const unused = simulation.issueTicket('d3')!;
		assert.equal(submit(simulation, 'd3', used), 'complete');
		simulation.stop('d3', 'd1');
		simulation.timers.advance(5000);
		simulation.stop('d1', 'd2');
		simulation.timers.advance(5000);
		simulation.start('d3');
		simulation.timers.advance(1000);
		assert.deepEqual([simulation.isAlive('d1'), submit(simulation, 'd3', unused), simulation.starts.get(unused)], [false, 'complete', 1]);
		simulation.start('d1');
		simulation.timers.advance(1000);
		assert.deepEqual([submit(simulation, 'd3', used), simulation.starts.get(used)], ['complete', 1]);
	});
});
