import type {CrashEvidence} from './crash-record.js';
import {findSuspectRun, isNewRun, type CrashedRun} from './find-suspect-run.js';

/** What a crash says about a run of the backend server. */
export type JudgedRun = {
	run: CrashedRun;
	evidence: CrashEvidence;
	/** Whether the crash counts against the queue of the run. */
	isSuspect: boolean;
};

export type CrashContext = {
	/** Whether a failure of several backend servers explains the crash. */
	hasCommonCause: boolean;
	/** Gets how many recent suspect runs a queue has. */
	getSuspectCount: (queueName: string) => number;
};

/**
 * Decides to which runs the crash of a backend server points. A run that had started well before is the cause of nothing if
 * another run, or a failure of several backend servers, explains the crash.
 * @param runs - The runs that were on the backend server.
 * @param context - What else happened.
 *
 * @example
 * ```ts
 * judgeCrash([newRun, oldRun], {hasCommonCause: false, getSuspectCount: () => 0}); // [{run: newRun, evidence: 'strong', isSuspect: true}]
 * ```
 */
export function judgeCrash(runs: readonly CrashedRun[], {hasCommonCause, getSuspectCount}: CrashContext): JudgedRun[] {
	const newRuns = runs.filter(run => isNewRun(run));
	if (hasCommonCause) {
		return newRuns.map(run => ({run, evidence: 'weak', isSuspect: false}));
	}

	if (newRuns.length === 0) {
		return runs.map(run => ({run, evidence: 'weak', isSuspect: false}));
	}

	const jobIds = new Set(newRuns.map(({jobId}) => jobId));
	const suspect = findSuspectRun(newRuns, getSuspectCount);
	return newRuns.map(run => ({run, evidence: getEvidence(run, jobIds.size), isSuspect: run === suspect}));
}

/** A start request without a response may never have arrived. */
function getEvidence({state}: CrashedRun, newJobCount: number): CrashEvidence {
	if (state === 'starting') {
		return 'weak';
	}

	return newJobCount === 1 ? 'strong' : 'medium';
}
