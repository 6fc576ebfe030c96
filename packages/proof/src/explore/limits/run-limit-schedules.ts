import fc from 'fast-check';
import {runFaultSchedule, type Fault} from './run-fault-schedule.js';

const daemonsPerZone = [1, 2, 3];
const maxFaults = 14;

/** A random fault at a random daemon, and the time until the next fault. */
const fault: fc.Arbitrary<Fault> = fc.record({
	kind: fc.constantFrom('crash', 'restart', 'pause', 'isolate', 'cut-zone', 'heal', 'skew', 'one-way'),
	node: fc.nat(5),
	durationMs: fc.integer({min: 500, max: 45_000}),
});

/**
 * Runs random fault schedules against the limiters of two availability zones.
 * @param count - The number of schedules for each number of daemons in a zone.
 * @param seed - The seed of all schedules.
 * @throws {Error} With the shrunk schedule and its seed, if a declared limit was exceeded.
 *
 * @example
 * ```ts
 * runLimitSchedules(100, 7);
 * ```
 */
export function runLimitSchedules(count: number, seed: number): void {
	const schedule = fc.array(fault, {minLength: 1, maxLength: maxFaults});
	for (const daemons of daemonsPerZone) {
		const property = fc.property(fc.integer(), schedule, (networkSeed, faults) => {
			const exceeded = runFaultSchedule(networkSeed, daemons, faults);
			if (exceeded !== undefined) {
				throw new Error(`${daemons} daemons in a zone: ${exceeded}`);
			}
		});
		fc.assert(property, {numRuns: count, seed, includeErrorInReport: true});
	}
}
