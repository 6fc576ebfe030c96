import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createTestJob} from './support/register-schedules.js';
import {daemonIds, RegisterWorld, type Copy} from './support/register-world.js';

/** The naive register: one map, one process, no faults. */
class NaiveRegister {
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
	it('answers as a map of ids does', () => {
		fc.assert(fc.property(submissions, fc.integer({min: 1, max: 1_000_000}), (steps, seed) => {
			const world = new RegisterWorld({seed, hasNetworkFaults: false});
			const naive = new NaiveRegister();
			const tickets = [0, 1, 2].map(index => world.issueTicket(daemonIds[index]!)!);
			const expected: string[] = [];
			for (const {daemon, id, content, isRefused, pauseMs} of steps) {
				const name = id < 3 ? `chosen-${id}` : tickets[id - 3]!;
				world.submit(daemonIds[daemon]!, createTestJob(name, content, isRefused ? 30_000 : 30_001));
				expected.push(naive.submit(name, content, isRefused));
				world.timers.advance(pauseMs);
			}

			world.timers.advance(40_000);
			assert.deepEqual(world.copies.map(copy => describeAnswer(copy)), expected);
			assert.deepEqual(world.violations, []);
		}), {numRuns: 200});
	});
});
