import fc from 'fast-check';
import {ScheduleRun, type Schedule, type Step} from './schedule-run.js';
import type {ClusterFault} from './test-cluster.js';

const stepKinds: ReadonlyArray<{arbitrary: fc.Arbitrary<Step['kind']>; weight: number}> = [
	{arbitrary: fc.constantFrom('publish', 'race'), weight: 8},
	{arbitrary: fc.constantFrom('stale-publish', 'resend'), weight: 4},
	{arbitrary: fc.constantFrom('crash', 'lose-disk', 'restart'), weight: 6},
	{arbitrary: fc.constantFrom('cut', 'isolate', 'heal'), weight: 6},
	{arbitrary: fc.constantFrom('pause', 'resume'), weight: 3},
	{arbitrary: fc.constantFrom('leave', 'restart-daemon'), weight: 3},
];

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
	kind: fc.oneof(...stepKinds),
	first: fc.nat(4),
	second: fc.nat(20),
	waitMs: fc.oneof(fc.nat(30), fc.nat(4000), fc.constant(20_000)),
});

const scheduleArbitrary: fc.Arbitrary<Schedule> = fc.record({
	seed: fc.nat(1_000_000),
	keeperCount: fc.constantFrom(3, 3, 4, 5, 7),
	lossRatio: fc.constantFrom(0, 0, 0.05),
	duplicationRatio: fc.constantFrom(0, 0.1),
	maxDelayMs: fc.constantFrom(1, 20, 200),
	steps: fc.array(stepArbitrary, {minLength: 1, maxLength: 25, size: 'max'}),
});

/**
 * Runs random schedules of publishes and faults. On failure, the error contains the seed and the smallest failing schedule found.
 * @param count - The number of schedules.
 * @param seed - Selects the schedules.
 */
export function runConsensusSchedules(count: number, seed: number): void {
	fc.assert(getProperty(), {numRuns: count, seed});
}

/**
 * Searches for a schedule that detects an injected fault.
 * @param fault - The fault.
 * @param count - The maximum number of schedules to try.
 * @param seed - Selects the schedules.
 * @returns The message of the failed check, or undefined if no schedule detected the fault.
 */
export function findConsensusFailure(fault: ClusterFault, count: number, seed: number): string | undefined {
	const details = fc.check(getProperty(fault), {numRuns: count, seed, endOnFailure: true});
	return details.failed ? String(details.errorInstance) : undefined;
}

function getProperty(fault?: ClusterFault): fc.IProperty<[Schedule]> {
	return fc.property(scheduleArbitrary, schedule => {
		new ScheduleRun(schedule, fault).run();
	});
}
