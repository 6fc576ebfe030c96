import type {CrashEvidence, CrashState} from './crash-record.js';

/** A crash under a task, as far as it matters for the decision about the task. */
export type TaskCrash = {
	evidence: CrashEvidence;
	state: CrashState;
	/** Whether the run was new when its backend server was last heard, so that it was certainly not over before the crash. */
	isNew?: boolean | undefined;
};

/**
 * What may be done with a task under which backend servers have crashed.
 *
 * - `startable`: it may be started again.
 * - `held`: it is not started until more is known of the crashes.
 * - `given-up`: it crashes the backend servers that start it.
 * - `undecided`: it is not started again, but its runs may have been over before the crashes.
 */
export type TaskVerdict = 'startable' | 'held' | 'given-up' | 'undecided';

/** A task is given up after this many crashes that point to it, if one of them points to it alone. */
const maxPointingCrashes = 2;
/** A task is given up after this many crashes that point to it and to others each time. */
const maxMediumCrashes = 4;
/** A task is not started again after this many crashes that nothing else explains. */
const maxCrashes = 5;

/**
 * Decides about a task under which backend servers have crashed. Only crashes that are confirmed end the job of the task: a
 * network partition may refuse connections too. Behind a partition a run may end, or lose its lease, long before its backend server
 * crashes: crashes that do not point to the task end its job as failed only if all of its runs were new.
 * @param crashes - The crashes that are known, in any order.
 *
 * @example
 * ```ts
 * getTaskVerdict([{evidence: 'strong', state: 'confirmed'}, {evidence: 'strong', state: 'suspected'}]); // 'held'
 * ```
 */
export function getTaskVerdict(crashes: readonly TaskCrash[]): TaskVerdict {
	const possible = crashes.filter(({state}) => state !== 'refuted');
	const confirmed = possible.filter(({state}) => state === 'confirmed');
	if (isPointedTo(confirmed) || confirmed.filter(({isNew}) => isNew).length >= maxCrashes) {
		return 'given-up';
	}

	if (confirmed.length >= maxCrashes) {
		return 'undecided';
	}

	return isPointedTo(possible) || possible.length >= maxCrashes ? 'held' : 'startable';
}

function isPointedTo(crashes: readonly TaskCrash[]): boolean {
	const hasStrong = crashes.some(({evidence}) => evidence === 'strong');
	const pointingCount = crashes.filter(({evidence}) => evidence !== 'weak').length;
	return pointingCount >= (hasStrong ? maxPointingCrashes : maxMediumCrashes);
}
