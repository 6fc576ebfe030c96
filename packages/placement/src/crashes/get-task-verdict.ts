import type {CrashEvidence, CrashState} from './crash-record.js';

/** A crash under a task, as far as it matters for the decision about the task. */
export type TaskCrash = {
	evidence: CrashEvidence;
	state: CrashState;
	ageMs: number;
};

/**
 * What may be done with a task under which backend servers have crashed.
 *
 * - `startable`: it may be started again.
 * - `held`: it is not started until more is known of the crashes.
 * - `given-up`: it crashes the backend servers that start it.
 */
export type TaskVerdict = 'startable' | 'held' | 'given-up';

/** A task is given up after this many crashes that point to it alone. */
const maxStrongCrashes = 2;
/** A task is given up after this many crashes that point to it and perhaps to others. */
const maxMediumCrashes = 4;
/** A task is given up after this many crashes that nothing else explains. */
const maxCrashes = 5;
/** A backend server that has refused connections for this time counts as crashed, since it may never come back. */
export const assumedCrashMs = 10_000;

/**
 * Decides about a task under which backend servers have crashed. Only crashes that are confirmed end the job of the task: a
 * network partition may refuse connections too.
 * @param crashes - The crashes that are known, in any order.
 *
 * @example
 * ```ts
 * getTaskVerdict([{evidence: 'strong', state: 'confirmed', ageMs: 4000}, {evidence: 'strong', state: 'suspected', ageMs: 20}]); // 'held'
 * ```
 */
export function getTaskVerdict(crashes: readonly TaskCrash[]): TaskVerdict {
	const possible = crashes.filter(({state}) => state !== 'refuted');
	if (!isLimitReached(possible)) {
		return 'startable';
	}

	return isLimitReached(possible.filter(crash => isCertain(crash))) ? 'given-up' : 'held';
}

/** A silent backend server, of which there is weak evidence only, is not assumed to have crashed. */
function isCertain({evidence, state, ageMs}: TaskCrash): boolean {
	return state === 'confirmed' || (evidence !== 'weak' && ageMs >= assumedCrashMs);
}

function isLimitReached(crashes: readonly TaskCrash[]): boolean {
	const strongCount = crashes.filter(({evidence}) => evidence === 'strong').length;
	const pointingCount = crashes.filter(({evidence}) => evidence !== 'weak').length;
	return strongCount >= maxStrongCrashes || pointingCount >= maxMediumCrashes || crashes.length >= maxCrashes;
}
