import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createTestJob} from './support/register-schedules.js';
import {daemonIds, RegisterSimulation, type Copy} from './support/register-simulation.js';

/** The reference model: a single map in one process, without faults. */
class ReferenceRegister {
	readonly #contents = new Map<string, number>();

	submit(id: string, content: number, isRefusedBeforeStart: boolean): string {
		const known = this.#contents.get(id);
		if (known !== undefined) {
			return known === content ? 'complete' : 'content-conflict';
		}

		if (isRefusedBeforeStart) {
			return 'queue-full';
		}

		this.#contents.set(id, content);
		return 'complete';
	}
}

function describeAnswer({answers: [answer]}: Copy): string {
	if (answer?.kind === 'outcome') {
		return answer.outcome.outcome === 'refused' ? answer.outcome.code : answer.outcome.outcome;
	}

	return answer?.code ?? 'none';
}

const submissions = fc.array(fc.record({
	daemon: fc.integer({min: 0, max: 2}),
	id: fc.integer({min: 0, max: 5}),
	content: fc.integer({min: 0, max: 1}),
	isRefused: fc.boolean(),
	pauseMs: fc.integer({min: 20, max: 2000}),
}), {maxLength: 40});

describe('the job register without faults', () => {
	it('gives the same answers as a map of ids', () => {
		fc.assert(fc.property(submissions, fc.integer({min: 1, max: 1_000_000}), (steps, seed) => {
			const simulation = new RegisterSimulation({seed, hasNetworkFaults: false});
			const reference = new ReferenceRegister();
			const tickets = [0, 1, 2].map(index => simulation.issueTicket(daemonIds[index]!)!);
			const expected: string[] = [];
			for (const {daemon, id, content, isRefused, pauseMs} of steps) {
				const name = id < 3 ? `chosen-${id}` : tickets[id - 3]!;
				simulation.submit(daemonIds[daemon]!, createTestJob(name, content, isRefused ? 30_000 : 30_001));
				expected.push(reference.submit(name, content, isRefused));
				simulation.timers.advance(pauseMs);
			}

			simulation.timers.advance(40_000);
			assert.deepEqual(simulation.copies.map(copy => describeAnswer(copy)), expected);
			assert.deepEqual(simulation.violations, []);
		}), {numRuns: 200});
	});
});
