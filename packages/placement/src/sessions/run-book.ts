import type {ActiveRun, EndedRun} from '../ports/backend-server-client.js';
import {getRunEnd} from './get-run-end.js';
import type {Run, RunEnd, RunStart} from './run.js';

/** What runs on one backend server, as far as is known. */
export type RunBook = {
	getRuns(): ReadonlyMap<string, Run>;
	/** Adds a run whose start is about to be ordered. */
	addRun(start: RunStart): Run;
	/** Whether a run is still in the book. */
	hasRun(run: Run): boolean;
	endRun(run: Run, how: RunEnd): void;
	endAllRuns(how: RunEnd): void;
	/** Takes the ends that the backend server lists; those acknowledged before are passed over. */
	addEnds(endedRuns: readonly EndedRun[]): void;
	/** Gets the number of the last end taken. */
	getAcknowledgedEnd(): number;
	/** Takes the progress that the backend server lists. */
	setProgress(activeRuns: readonly ActiveRun[], clockMs: number): void;
	/** Brings the book into line with everything that the backend server listed under a new token. */
	reconcile(activeRuns: readonly ActiveRun[], clockMs: number): void;
	getStoppingRuns(): Run[];
	/** Gets the runs that an earlier placer started and whose jobs are not known here. */
	getUnknownRuns(): Run[];
};

/**
 * Creates the book, empty.
 * @param getNowMs - The time.
 * @param onRunEnd - Called after a run has left the book.
 */
export function createRunBook(getNowMs: () => number, onRunEnd: (run: Run, how: RunEnd) => void): RunBook {
	const runs = new Map<string, Run>();
	let acknowledgedEnd = 0;

	function endRun(run: Run, how: RunEnd): void {
		if (runs.delete(run.taskName)) {
			onRunEnd(run, how);
		}
	}

	function addForeignRun({taskName, runNumber, percent}: ActiveRun): void {
		runs.set(taskName, {
			taskName, runNumber, needs: undefined, state: 'running', startedAtMs: getNowMs(), percent, serverStartMs: undefined, serverReportMs: undefined,
		});
	}

	function setRunProgress(run: Run, percent: number, clockMs: number): void {
		run.percent = percent;
		run.serverReportMs = clockMs;
	}

	return {
		getRuns: () => runs,
		addRun({taskName, runNumber, needs}) {
			const run: Run = {
				taskName, runNumber, needs, state: 'starting', startedAtMs: getNowMs(), percent: 0, serverStartMs: undefined, serverReportMs: undefined,
			};
			runs.set(taskName, run);
			return run;
		},
		hasRun: run => runs.get(run.taskName) === run,
		endRun,
		endAllRuns(how) {
			for (const run of runs.values()) {
				endRun(run, how);
			}
		},
		addEnds(endedRuns) {
			for (const ended of endedRuns) {
				if (ended.endNumber <= acknowledgedEnd) {
					continue;
				}

				acknowledgedEnd = ended.endNumber;
				const run = runs.get(ended.taskName);
				if (run?.runNumber === ended.runNumber) {
					endRun(run, getRunEnd(ended.outcome));
				}
			}
		},
		getAcknowledgedEnd: () => acknowledgedEnd,
		setProgress(activeRuns, clockMs) {
			for (const {taskName, percent} of activeRuns) {
				const run = runs.get(taskName);
				if (run !== undefined) {
					setRunProgress(run, percent, clockMs);
				}
			}
		},
		reconcile(activeRuns, clockMs) {
			const active = new Map(activeRuns.map(activeRun => [activeRun.taskName, activeRun]));
			for (const run of runs.values()) {
				const found = active.get(run.taskName);
				if (found?.runNumber === run.runNumber) {
					setRunProgress(run, found.percent, clockMs);
					run.state = run.state === 'starting' ? 'running' : run.state;
				} else {
					endRun(run, run.state === 'starting' ? 'unanswered' : 'lost');
				}
			}

			for (const activeRun of activeRuns) {
				if (!runs.has(activeRun.taskName)) {
					addForeignRun(activeRun);
				}
			}
		},
		getStoppingRuns: () => [...runs.values()].filter(run => run.state === 'stopping'),
		getUnknownRuns: () => [...runs.values()].filter(run => run.needs === undefined),
	};
}
