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
	/** The runs of other backend servers that failed at the same moment. */
	otherFailures: ReadonlyArray<readonly CrashedRun[]>;
	/** Gets how many recent suspect runs a queue has. */
	getSuspectCount: (queueName: string) => number;
};

/**
 * Decides to which runs the crash of a backend server points. A failure of several backend servers explains the crash, unless
 * their runs may be its cause: those that had only just started, or that are of the same job.
 * @param runs - The runs that were on the backend server.
 * @param context - What else happened.
 *
 * @example
 * ```ts
 * judgeCrash([newRun, oldRun], {otherFailures: [], getSuspectCount: () => 0});
 * // [{run: newRun, evidence: 'strong', isSuspect: true}, {run: oldRun, evidence: 'weak', isSuspect: false}]
 * ```
 */
export function judgeCrash(runs: readonly CrashedRun[], {otherFailures, getSuspectCount}: CrashContext): JudgedRun[] {
	const newJobIds = new Set(runs.filter(run => isNewRun(run)).map(({jobId}) => jobId));
	const judged: JudgedRun[] = [];
	for (const run of runs) {
		const foreignFailures = otherFailures.filter(failedRuns => failedRuns.every(({jobId}) => jobId !== run.jobId));
		const evidence = findEvidence(run, newJobIds.size, foreignFailures);
		if (evidence !== undefined) {
			judged.push({run, evidence, isSuspect: false});
		}
	}

	return markSuspect(judged, getSuspectCount);
}

/** Finds the evidence against a run; undefined if something else explains the crash. */
function findEvidence(run: CrashedRun, newJobCount: number, foreignFailures: CrashContext['otherFailures']): CrashEvidence | undefined {
	const isExplained = foreignFailures.some(failedRuns => !failedRuns.some(other => isNewRun(other)));
	if (!isNewRun(run)) {
		return isExplained ? undefined : 'weak';
	}

	// A start request without a response may never have arrived.
	if (isExplained || run.state === 'starting') {
		return 'weak';
	}

	return newJobCount === 1 && foreignFailures.length === 0 ? 'strong' : 'medium';
}

/** Unanswered starts count against the queue too: a crash may come before the response. */
function markSuspect(judged: readonly JudgedRun[], getSuspectCount: (queueName: string) => number): JudgedRun[] {
	const suspect = findSuspectRun(judged.filter(({run, evidence}) => evidence !== 'weak' || run.state === 'starting').map(({run}) => run), getSuspectCount);
	return judged.map(entry => ({...entry, isSuspect: entry.run === suspect}));
}
