import type {Job} from '@camphortack/core';
import fc from 'fast-check';
import {daemonIds, RegisterSimulation, type InjectedFault} from './register-simulation.js';

/** One step of a schedule. */
export type Step
	= {kind: 'submit'; daemon: number; id: number; content: number; deadlineMs: number}
		| {kind: 'advance'; durationMs: number}
		| {kind: 'kill' | 'start' | 'restart' | 'lose-disk' | 'suspect' | 'cut'; daemon: number}
		| {kind: 'stop'; daemon: number; successor: number}
		| {kind: 'reassign'; keepers: number}
		| {kind: 'heal'};

/** Number of ids; the first half are caller-chosen, the others are tickets. */
const idCount = 6;

const daemonArbitrary = fc.integer({min: 0, max: daemonIds.length - 1});
const submitArbitrary = fc.record({
	kind: fc.constant('submit' as const),
	daemon: daemonArbitrary,
	id: fc.integer({min: 0, max: idCount - 1}),
	content: fc.oneof({weight: 6, arbitrary: fc.constant(0)}, {weight: 1, arbitrary: fc.constant(1)}),
	deadlineMs: fc.integer({min: 100, max: 4000}),
});
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
	{weight: 8, arbitrary: submitArbitrary},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('advance' as const), durationMs: fc.oneof(fc.integer({min: 0, max: 60}), fc.integer({min: 0, max: 4000}))})},
	{weight: 4, arbitrary: fc.record({kind: fc.constantFrom('kill' as const, 'start', 'restart', 'restart', 'lose-disk', 'suspect', 'cut'), daemon: daemonArbitrary})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('stop' as const), daemon: daemonArbitrary, successor: daemonArbitrary})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('reassign' as const), keepers: fc.integer({min: 0, max: 2})})},
	{weight: 1, arbitrary: fc.constant({kind: 'heal' as const})},
);

/** Generates schedules of submissions and faults. */
export const scheduleArbitrary = fc.array(stepArbitrary, {minLength: 5, maxLength: 60, size: 'max'});

const keeperSets = [['d1', 'd2'], ['d1'], ['d2']] as const;
const settleMs = 20_000;

export function createTestJob(id: string, content: number, deadlineMs: number): Job {
	return {
		id,
		customer: 'studio',
		service: 'quote',
		deadlineMs,
		idempotent: false,
		tasks: [{payload: content}],
	};
}

/**
 * Runs one schedule against the real keepers and clients.
 * @returns The violations found.
 */
export function runSchedule(steps: readonly Step[], seed: number, fault?: InjectedFault): string[] {
	const simulation = new RegisterSimulation({seed, hasNetworkFaults: true, ...(fault !== undefined && {fault})});
	const tickets = new Map<number, string>();
	for (const step of steps) {
		applyStep(simulation, tickets, step);
	}

	simulation.network.healLinks();
	for (const daemonId of daemonIds) {
		simulation.start(daemonId);
	}

	simulation.timers.advance(settleMs);
	return [...simulation.violations, ...getFinalViolations(simulation)];
}

function applyStep(simulation: RegisterSimulation, tickets: Map<number, string>, step: Step): void {
	switch (step.kind) {
		case 'submit': {
			const daemonId = daemonIds[step.daemon]!;
			const isTicket = step.id >= idCount / 2;
			const id = isTicket ? tickets.get(step.id) ?? simulation.issueTicket(daemonId) : `chosen-${step.id}`;
			if (id !== undefined) {
				tickets.set(step.id, id);
				simulation.submit(daemonId, createTestJob(id, step.content, step.deadlineMs));
			}

			break;
		}

		case 'advance': {
			simulation.timers.advance(step.durationMs);
			break;
		}

		case 'kill': {
			simulation.kill(daemonIds[step.daemon]!);
			break;
		}

		case 'restart': {
			simulation.kill(daemonIds[step.daemon]!);
			simulation.start(daemonIds[step.daemon]!);
			break;
		}

		case 'lose-disk': {
			simulation.kill(daemonIds[step.daemon]!, true);
			simulation.start(daemonIds[step.daemon]!);
			break;
		}

		case 'start': {
			simulation.start(daemonIds[step.daemon]!);
			break;
		}

		case 'suspect': {
			simulation.suspect(daemonIds[step.daemon]!);
			break;
		}

		case 'cut': {
			const cutOff = daemonIds[step.daemon]!;
			simulation.network.partitionPeers([cutOff], daemonIds.filter(id => id !== cutOff));
			break;
		}

		case 'stop': {
			simulation.stop(daemonIds[step.daemon]!, daemonIds[step.successor]!);
			break;
		}

		case 'reassign': {
			simulation.reassign(keeperSets[step.keepers]!);
			break;
		}

		case 'heal': {
			simulation.network.healLinks();
			break;
		}
	}
}

function getFinalViolations(simulation: RegisterSimulation): string[] {
	const violations: string[] = [];
	const copyCounts = new Map<string, number>();
	for (const {job} of simulation.copies) {
		copyCounts.set(job.id, (copyCounts.get(job.id) ?? 0) + 1);
	}

	for (const {job, daemonId, incarnation, answers} of simulation.copies) {
		const [answer] = answers;
		const isSurvivor = simulation.isAlive(daemonId) && simulation.getIncarnation(daemonId) === incarnation;
		if (answers.length > 1 || (isSurvivor && answer === undefined)) {
			violations.push(`a copy of ${job.id} got ${answers.length} answers`);
		}

		const isRefused = answer?.kind === 'refused' || (answer?.kind === 'outcome' && answer.outcome.outcome === 'refused');
		if (isRefused && copyCounts.get(job.id) === 1 && (simulation.starts.get(job.id) ?? 0) > 0) {
			violations.push(`the only copy of ${job.id} was refused as not run, but started`);
		}
	}

	return violations;
}

/**
 * Searches for a schedule in which an injected fault leads to the expected violation.
 * @returns The violation, or undefined if the checks did not detect the fault.
 */
export function findViolation(fault: InjectedFault, expected: RegExp, count: number, seed: number): string | undefined {
	const samples = fc.sample(fc.tuple(scheduleArbitrary, fc.integer({min: 1, max: 1_000_000})), {numRuns: count, seed});
	for (const [steps, simulationSeed] of samples) {
		const violation = runSchedule(steps, simulationSeed, fault).find(found => expected.test(found));
		if (violation !== undefined) {
			return violation;
		}
	}

	return undefined;
}

/**
 * Runs random schedules. Throws an error with the seed and the shrunk schedule if one violates a guarantee.
 * @param count - The number of schedules.
 * @param seed - The seed of the generator.
 */
export function runRegisterSchedules(count: number, seed: number): void {
	fc.assert(fc.property(scheduleArbitrary, fc.integer({min: 1, max: 1_000_000}), (steps, simulationSeed) => {
		const violations = runSchedule(steps, simulationSeed);
		if (violations.length > 0) {
			throw new Error(violations.join('\n'));
		}
	}), {numRuns: count, seed});
}
