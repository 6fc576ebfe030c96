import type {CrashEvidence, CrashState} from './crash-record.js';

/** A crash under a task, as far as it matters for the decision about the task. */
export type TaskCrash = {
	evidence: CrashEvidence;
	state: CrashState;
};

/**
 * What may be done with a task under which backend servers have crashed.
 *
 * - `startable`: it may be started again.
 * - `held`: it is not started until more is known of the crashes.
 * - `given-up`: it crashes the backend servers that start it.
 */
export type TaskVerdict = 'startable' | 'held' | 'given-up';

/** A task is given up after this many crashes that point to it, if one of them points to it alone. */
const maxPointingCrashes = 2;
/** A task is given up after this many crashes that point to it and to others each time. */
const maxMediumCrashes = 4;
/** A task is given up after this many crashes that nothing else explains. */
const maxCrashes = 5;
/**
 * Decides about a task under which backend servers have crashed. Only crashes that are confirmed end the job of the task: a
 * network partition may refuse connections too.
 * @param crashes - The crashes that are known, in any order.
 *
 * @example
 * ```ts
 * getTaskVerdict([{evidence: 'strong', state: 'confirmed'}, {evidence: 'strong', state: 'suspected'}]); // 'held'
 * ```
 */
export function getTaskVerdict(crashes: readonly TaskCrash[]): TaskVerdict {
	const possible = crashes.filter(({state}) => state !== 'refuted');
	if (!isLimitReached(possible)) {
		return 'startable';
	}

	return isLimitReached(possible.filter(({state}) => state === 'confirmed')) ? 'given-up' : 'held';
}

function isLimitReached(crashes: readonly TaskCrash[]): boolean {
	const hasStrong = crashes.some(({evidence}) => evidence === 'strong');
	const pointingCount = crashes.filter(({evidence}) => evidence !== 'weak').length;
	return pointingCount >= (hasStrong ? maxPointingCrashes : maxMediumCrashes) || crashes.length >= maxCrashes;
}
